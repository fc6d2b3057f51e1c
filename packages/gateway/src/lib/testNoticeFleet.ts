import { MemoryStore, NotifyingTarget, type NotifyingAnswer } from '@stallwing/standins'
import { freePort } from './freePort.js'
import { sleep } from './sleep.js'
import {
	TEST_DIALECT,
	TestBox,
	trafficConfigOf,
	targetEntryOf,
	type CallerResponse,
} from './testBox.js'

/** Boxes of a {@link NoticeFleet}. */
export const DEFAULT_BOX_COUNT = 3
/** Its targets, which are named `t0`, `t1` and so on. */
export const TARGET_COUNT = 6
/** Pause between two requests, in ms. */
const REQUEST_INTERVAL_MS = 12
/** Time that a request takes, in ms: each box has some under way, so that it uses several targets. */
const REQUEST_DURATION_MS = 100
/** Time after the word of a target that it leaves in which a box may still send there, in ms. */
export const MAX_DRAIN_DELAY_MS = 2_000
/** Time for which {@link BACKOFF_ANSWER} asks to be left alone, in ms. */
export const BACKOFF_MS = 1_500
/** Time after such a word in which what was on its way may still arrive, in ms. */
const IN_FLIGHT_MS = 500

/** An answer without a word. */
export const OK_ANSWER: NotifyingAnswer = { status: 200, notRun: false, stream: false, notice: {} }
/** The word of a target that it leaves. */
export const LEAVING_NOTICE = {
	[TEST_DIALECT.headers.leaving.header]: TEST_DIALECT.headers.leaving.value,
}
/** A refusal that asks for a backoff. */
export const BACKOFF_ANSWER: NotifyingAnswer = {
	status: 503,
	notRun: true,
	stream: false,
	notice: { 'retry-after': String(BACKOFF_MS / 1_000) },
}

/** A request of a caller, and what became of it. */
interface SentRequest {
	readonly box: string
	readonly sentAt: number
	readonly answeredAt: number
	readonly response: CallerResponse
}

/** What a {@link NoticeFleet} is made of. */
export interface NoticeFleetOptions {
	/** Number of boxes; {@link DEFAULT_BOX_COUNT} where it is not said. */
	readonly boxCount?: number
	/** Boxes hear each other, and have known each other for long. */
	readonly arePeersConnected?: boolean
}

/** Boxes over one store, and targets that the store lists as ready all the time. */
export class NoticeFleet {
	private readonly boxCount: number
	private readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	private boxes: readonly TestBox[] = []
	private targets: readonly NotifyingTarget[] = []
	private sentRequests: SentRequest[] = []
	private notifiedSince = Infinity

	/** `spoken`: what targets answer once they speak; the others answer well. */
	constructor(
		private answers: Readonly<Record<string, NotifyingAnswer>>,
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
		this.notifiedSince = performance.now()
	}

	/** From now on targets answer so. */
	setAnswers(spoken: Readonly<Record<string, NotifyingAnswer>>): void {
		this.answers = spoken
	}

	async stop(): Promise<void> {
		for (const target of this.targets) target.stop()
		await Promise.all(this.boxes.map((box) => box.stop()))
	}

	/** Callers ask all boxes in turn; a request's id names the box. */
	async sendRequests(routes: readonly string[], forMs: number): Promise<void> {
		const until = performance.now() + forMs
		const answers: Promise<void>[] = []
		for (let i = 0; performance.now() < until; i++) {
			const box = i % this.boxCount
			const route = routes[Math.floor(i / this.boxCount) % routes.length] ?? ''
			answers.push(this.sendOne(box, `${route}x`, `box-${box} ${i}`))
			await sleep(REQUEST_INTERVAL_MS)
		}
		await Promise.all(answers)
	}

	private async sendOne(box: number, path: string, id: string): Promise<void> {
		const at = performance.now()
		const answer = await this.boxes[box]?.sendRequest(path, { id })
		if (answer)
			this.sentRequests.push({
				box: `box-${box}`,
				sentAt: at,
				answeredAt: performance.now(),
				response: answer,
			})
	}

	/** Pairs of a box and a target that told it that it leaves. */
	get leavingPairs(): number {
		return this.sumOverPairs((requests) => (leavingNoticeAt(requests) < Infinity ? 1 : 0))
	}

	/** Requests that reached a target later than the time of a drain after it told their box that it leaves. */
	get requestsAfterDrain(): number {
		return this.sumOverPairs((requests) => {
			const bound = leavingNoticeAt(requests) + MAX_DRAIN_DELAY_MS
			return requests.filter(({ at }) => at > bound).length
		})
	}

	/** Answers that asked a box for a backoff. */
	get backoffCount(): number {
		return this.sumOverPairs(
			(requests) => requests.filter(({ answer }) => asksForBackoff(answer)).length,
		)
	}

	/** Most requests of one box that reached a target in the time of one backoff that it had asked that box for. */
	get maxRequestsInBackoff(): number {
		let most = 0
		this.sumOverPairs((requests) => {
			for (const { at, answer } of requests) {
				if (!asksForBackoff(answer)) continue
				const inBackoff = requests.filter(
					(other) => other.at > at + IN_FLIGHT_MS && other.at < at + BACKOFF_MS,
				)
				most = Math.max(most, inBackoff.length)
			}
			return 0
		})
		return most
	}

	/** Times at which requests reached a target since targets speak, from boxes that had been told so long before. */
	requestTimes(name: string, toldMs: number): readonly number[] {
		const requests = this.targets.find((target) => target.name === name)?.requests ?? []
		const spoken = requests.filter(({ at }) => at >= this.notifiedSince)
		const toldAt = new Map<string, number>()
		for (const { at, answer, requestId } of spoken) {
			const box = boxNameOf(requestId)
			if (!toldAt.has(box) && namesRate(answer)) toldAt.set(box, at)
		}
		const isTold = ({ at, requestId }: { at: number; requestId: string }): boolean =>
			at >= (toldAt.get(boxNameOf(requestId)) ?? Infinity) + toldMs
		return spoken.filter(isTold).map(({ at }) => at)
	}

	/** Requests that were not served although they came so long after targets began to speak. */
	failuresAfter(afterMs: number): number {
		const late = this.sentRequests.filter(({ sentAt: at }) => at > this.notifiedSince + afterMs)
		return late.filter(({ response: answer }) => answer.status !== 200 || !answer.isComplete).length
	}

	/** Requests that were served of those that came so long after targets began to speak. */
	successesAfter(afterMs: number): number {
		const late = this.sentRequests.filter(({ sentAt: at }) => at > this.notifiedSince + afterMs)
		return late.filter(({ response: answer }) => answer.status === 200 && answer.isComplete).length
	}

	/** Longest time until a caller was refused, in ms. */
	get maxRefusalMs(): number {
		const refused = this.sentRequests.filter(({ response: answer }) => answer.status === 503)
		return Math.max(0, ...refused.map(({ sentAt: at, answeredAt }) => answeredAt - at))
	}

	/** Callers that were refused, and told to come back before any target takes work of their box again. */
	get prematureRetryCount(): number {
		return this.sentRequests.filter(({ box, answeredAt, response: answer }) => {
			if (answer.status !== 503) return false
			const backAt = answeredAt + Number(answer.headers['retry-after'] ?? 0) * 1_000
			return backAt < this.firstAvailableAt(box, answeredAt)
		}).length
	}

	/** When the first target takes work of a box again, as far as it was told until then; 0: some take it now. */
	private firstAvailableAt(box: string, now: number): number {
		const opens = this.targets.map(({ requests }) => {
			const told = requests.filter(
				({ requestId, at, answer }) =>
					boxNameOf(requestId) === box && at < now && asksForBackoff(answer),
			)
			return Math.max(0, ...told.map(({ at }) => at + BACKOFF_MS))
		})
		return Math.min(...opens)
	}

	/** Sum over all pairs of a target and a box that sent to it, of what the target got from that box. */
	private sumOverPairs(count: (requests: NotifyingTarget['requests']) => number): number {
		let sum = 0
		for (const target of this.targets)
			for (let i = 0; i < this.boxCount; i++)
				sum += count(target.requests.filter(({ requestId }) => boxNameOf(requestId) === `box-${i}`))
		return sum
	}

	/** A box that hears others is listed already, as one that starts again. */
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
			workMs: REQUEST_DURATION_MS,
			answer: () =>
				performance.now() < this.notifiedSince ? OK_ANSWER : (this.answers[name] ?? OK_ANSWER),
		})
	}
}

function boxNameOf(requestId: string): string {
	return requestId.split(' ')[0] ?? ''
}

function leavingNoticeAt(requests: NotifyingTarget['requests']): number {
	const { header } = TEST_DIALECT.headers.leaving
	return requests.find(({ answer }) => answer.notice[header] !== undefined)?.at ?? Infinity
}

function asksForBackoff({ notice }: NotifyingAnswer): boolean {
	return notice['retry-after'] !== undefined
}

function namesRate({ notice }: NotifyingAnswer): boolean {
	return notice[TEST_DIALECT.headers.requestRate] !== undefined
}
