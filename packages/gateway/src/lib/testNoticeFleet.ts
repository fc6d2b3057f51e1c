import type { LogEvent, LogEventName } from '@stallwing/core'
import { MemoryStore, NotifyingTarget, type NotifyingResponse } from '@stallwing/standins'
import { freePort } from './freePort.js'
import { sleep } from './sleep.js'
import { TestBox, targetEntryOf, type CallerResponse } from './testBox.js'
import { TEST_DIALECT } from './testDialect.js'
import { trafficConfigOf } from './testTrafficConfig.js'

/** Default number of boxes of a {@link NoticeFleet}. */
export const DEFAULT_BOX_COUNT = 3
/** Number of targets, which are named `t0`, `t1` and so on. */
export const TARGET_COUNT = 6
/** Time between two requests, in ms. */
const REQUEST_INTERVAL_MS = 12
/** Duration of a request at a target, in ms: long enough that each box uses several targets. */
const REQUEST_DURATION_MS = 100
/** Time after a leaving notice in which a box may still send to the target, in ms. */
export const MAX_DRAIN_DELAY_MS = 2_000
/** Backoff that {@link BACKOFF_RESPONSE} asks for, in ms. */
export const BACKOFF_MS = 1_500
/** Time after a notice in which requests that were already in flight may arrive, in ms. */
const IN_FLIGHT_MS = 500
/** Maximum error of a `Retry-After`, in ms. */
const ROUNDING_MS = 1

/** A success without a notice. */
export const OK: NotifyingResponse = {
	status: 200,
	notRun: false,
	isStream: false,
	noticeHeaders: {},
}
/** Header with which a target reports that it is leaving. */
export const LEAVING_NOTICE = {
	[TEST_DIALECT.headers.leaving.header]: TEST_DIALECT.headers.leaving.value,
}
/** A refusal that asks for a backoff. */
export const BACKOFF_RESPONSE: NotifyingResponse = {
	status: 503,
	notRun: true,
	isStream: false,
	noticeHeaders: { 'retry-after': String(BACKOFF_MS / 1_000) },
}

/** A request of a caller with its response. */
interface SentRequest {
	readonly box: number
	readonly id: string
	readonly sentAt: number
	readonly answeredAt: number
	readonly response: CallerResponse
}

/** Options of a {@link NoticeFleet}. */
export interface NoticeFleetOptions {
	/** Number of boxes; {@link DEFAULT_BOX_COUNT} by default. */
	readonly boxCount?: number
	/** The boxes can reach each other and are registered in the store from the start. */
	readonly arePeersConnected?: boolean
}

/** Boxes with a common store and targets that the store always lists as ready. */
export class NoticeFleet {
	private readonly boxCount: number
	private readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	private boxes: readonly TestBox[] = []
	private targets: readonly NotifyingTarget[] = []
	private sentRequests: SentRequest[] = []
	private noticesFrom = Infinity

	/** `answers`: responses by target name, used once {@link start} has completed; other targets succeed. */
	constructor(
		private responses: Readonly<Record<string, NotifyingResponse>>,
		private readonly options: NoticeFleetOptions = {},
	) {
		this.boxCount = options.boxCount ?? DEFAULT_BOX_COUNT
	}

	async start(): Promise<void> {
		this.store.put('config/now', JSON.stringify(trafficConfigOf(1)))
		this.targets = Array.from({ length: TARGET_COUNT }, (_, i) => this.makeTarget(`t${i}`))
		for (const [i, target] of this.targets.entries()) {
			const entry = targetEntryOf(`t${i}`, await target.start())
			this.store.put(`targets/t${i}`, JSON.stringify(entry))
		}
		this.boxes = await Promise.all(
			Array.from({ length: this.boxCount }, (_, i) => this.makeBox(`box-${i}`)),
		)
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.waitUntilReady()))
		this.noticesFrom = performance.now()
	}

	/** Replaces the responses of the targets. */
	setResponses(answers: Readonly<Record<string, NotifyingResponse>>): void {
		this.responses = answers
	}

	async stop(): Promise<void> {
		for (const target of this.targets) target.stop()
		await Promise.all(this.boxes.map((box) => box.stop()))
	}

	/** Sends requests to all boxes in turn; the request id contains the name of the box. */
	async sendRequests(routes: readonly string[], durationMs: number): Promise<void> {
		const until = performance.now() + durationMs
		const pending: Promise<void>[] = []
		for (let i = 0; performance.now() < until; i++) {
			const box = i % this.boxCount
			const route = routes[Math.floor(i / this.boxCount) % routes.length] ?? ''
			pending.push(this.sendOne(box, `${route}x`, `box-${box} ${i}`))
			await sleep(REQUEST_INTERVAL_MS)
		}
		await Promise.all(pending)
	}

	private async sendOne(box: number, path: string, id: string): Promise<void> {
		const sentAt = performance.now()
		const response = await this.boxes[box]?.sendRequest(path, { id })
		if (response)
			this.sentRequests.push({
				box,
				id,
				sentAt,
				answeredAt: performance.now(),
				response,
			})
	}

	/** Number of pairs of a box and a target that has sent it a leaving notice. */
	get leavingPairs(): number {
		return this.sumOverPairs((requests) => (leavingNoticeAt(requests) < Infinity ? 1 : 0))
	}

	/** Requests that reached a target after its leaving notice and the drain delay. */
	get requestsAfterDrain(): number {
		return this.sumOverPairs((requests) => {
			const drainEndsAt = leavingNoticeAt(requests) + MAX_DRAIN_DELAY_MS
			return requests.filter(({ receivedAt }) => receivedAt > drainEndsAt).length
		})
	}

	/** Responses that asked a box for a backoff. */
	get backoffCount(): number {
		return this.sumOverPairs(
			(requests) => requests.filter(({ response }) => asksForBackoff(response)).length,
		)
	}

	/** Maximum number of requests of one box that reached a target during a backoff. */
	get maxRequestsInBackoff(): number {
		let maxRequests = 0
		this.sumOverPairs((requests) => {
			for (const { receivedAt, response } of requests) {
				if (!asksForBackoff(response)) continue
				const inBackoff = requests.filter(
					(other) =>
						other.receivedAt > receivedAt + IN_FLIGHT_MS &&
						other.receivedAt < receivedAt + BACKOFF_MS,
				)
				maxRequests = Math.max(maxRequests, inBackoff.length)
			}
			return 0
		})
		return maxRequests
	}

	/**
	 * Arrival times of requests at a target, from boxes that learned of its rate limit at least `noticeAgeMs` before.
	 */
	requestTimes(name: string, noticeAgeMs: number): readonly number[] {
		const requests = this.targets.find((target) => target.name === name)?.requests ?? []
		const notified = requests.filter(({ receivedAt }) => receivedAt >= this.noticesFrom)
		const noticedAt = new Map<string, number>()
		for (const { receivedAt, response, requestId } of notified) {
			const box = boxNameOf(requestId)
			if (!noticedAt.has(box) && statesRate(response)) noticedAt.set(box, receivedAt)
		}
		const isNoticed = ({
			receivedAt,
			requestId,
		}: {
			receivedAt: number
			requestId: string
		}): boolean => receivedAt >= (noticedAt.get(boxNameOf(requestId)) ?? Infinity) + noticeAgeMs
		return notified.filter(isNoticed).map(({ receivedAt }) => receivedAt)
	}

	/** Requests that failed, of those sent more than `afterMs` after notices began. */
	failuresAfter(afterMs: number): number {
		const late = this.sentRequests.filter(({ sentAt }) => sentAt > this.noticesFrom + afterMs)
		return late.filter(({ response }) => response.status !== 200 || !response.isComplete).length
	}

	/** Requests that succeeded, of those sent more than `afterMs` after notices began. */
	successesAfter(afterMs: number): number {
		const late = this.sentRequests.filter(({ sentAt }) => sentAt > this.noticesFrom + afterMs)
		return late.filter(({ response }) => response.status === 200 && response.isComplete).length
	}

	/** Maximum time until a refusal, in ms. */
	get maxRefusalMs(): number {
		const refused = this.sentRequests.filter(({ response }) => response.status === 503)
		return Math.max(0, ...refused.map(({ sentAt, answeredAt }) => answeredAt - sentAt))
	}

	/** Refusals whose `Retry-After` ends before any target accepts work of the box again, as far as the box knew. */
	get prematureRetryCount(): number {
		return this.sentRequests.filter(({ box, id, response }) => {
			if (response.status !== 503) return false
			const refusedAt = this.loggedAt(box, 'request-refused', ({ request }) => request === id)[0]
			if (refusedAt === undefined) throw new Error(`no refusal of ${id} is logged`)
			const retryAt = refusedAt + Number(response.headers['retry-after'] ?? 0) * 1_000
			return retryAt + ROUNDING_MS < this.firstAvailableAt(box, refusedAt)
		}).length
	}

	/**
	 * Time at which the first target accepts work of a box again, by the responses that the box had read at `now`; 0 if
	 * one accepts it now.
	 */
	private firstAvailableAt(box: number, now: number): number {
		const availableTimes = this.targets.map((_, i) => {
			const readTimes = this.loggedAt(box, 'target-backoff', ({ target }) => target === `t${i}`)
			return Math.max(0, ...readTimes.filter((at) => at < now).map((at) => at + BACKOFF_MS))
		})
		return Math.min(...availableTimes)
	}

	/** Times at which a box logged an event whose fields match. */
	private loggedAt(
		box: number,
		name: LogEventName,
		matches: (fields: LogEvent['fields']) => boolean,
	): readonly number[] {
		const { logEvents, logTimes } = this.boxes[box] ?? {
			logEvents: [],
			logTimes: new WeakMap<LogEvent, number>(),
		}
		return logEvents
			.filter((event) => event.name === name && matches(event.fields))
			.map((event) => logTimes.get(event) ?? 0)
	}

	/** Sum of `count` over all pairs of a target and a box, applied to the requests of that pair. */
	private sumOverPairs(count: (requests: NotifyingTarget['requests']) => number): number {
		let sum = 0
		for (const target of this.targets)
			for (let i = 0; i < this.boxCount; i++)
				sum += count(target.requests.filter(({ requestId }) => boxNameOf(requestId) === `box-${i}`))
		return sum
	}

	/** Creates a box. If boxes can reach each other, it is already registered in the store, as after a restart. */
	private async makeBox(name: string): Promise<TestBox> {
		if (!this.options.arePeersConnected) return new TestBox(name, this.store)
		const port = await freePort()
		const member = { zone: 'z1', address: `127.0.0.1:${port}`, cores: 1 }
		this.store.put(`box/${name}`, JSON.stringify(member))
		return new TestBox(name, this.store, port)
	}

	private makeTarget(name: string): NotifyingTarget {
		return new NotifyingTarget({
			name,
			headers: TEST_DIALECT.headers,
			processingMs: REQUEST_DURATION_MS,
			responseFor: () => (performance.now() < this.noticesFrom ? OK : (this.responses[name] ?? OK)),
		})
	}
}

function boxNameOf(requestId: string): string {
	return requestId.split(' ')[0] ?? ''
}

function leavingNoticeAt(requests: NotifyingTarget['requests']): number {
	const { header } = TEST_DIALECT.headers.leaving
	return (
		requests.find(({ response }) => response.noticeHeaders[header] !== undefined)?.receivedAt ??
		Infinity
	)
}

function asksForBackoff({ noticeHeaders }: NotifyingResponse): boolean {
	return noticeHeaders['retry-after'] !== undefined
}

function statesRate({ noticeHeaders }: NotifyingResponse): boolean {
	return noticeHeaders[TEST_DIALECT.headers.requestRate] !== undefined
}
