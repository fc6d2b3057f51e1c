import { MemoryStore, NotifyingTarget, type NotifyingAnswer } from '@stallwing/standins'
import { freePort } from './freePort.js'
import { sleep } from './sleep.js'
import { DIALECT, TestBox, configOf, entryOf, type Answer } from './testBox.js'

/** Boxes of a {@link NoticeFleet}. */
export const BOXES = 3
/** Its targets, which are named `t0`, `t1` and so on. */
export const TARGETS = 6
/** Pause between two requests, in ms. */
const PAUSE_MS = 12
/** Time that a request takes, in ms: each box has some under way, so that it uses several targets. */
const WORK_MS = 100
/** Time after the word of a target that it leaves in which a box may still send there, in ms. */
export const DRAIN_MS = 2_000
/** Time for which {@link TURNED_AWAY} asks to be left alone, in ms. */
export const BACKOFF_MS = 1_500
/** Time after such a word in which what was on its way may still arrive, in ms. */
const UNDER_WAY_MS = 500

/** An answer without a word. */
export const GOOD: NotifyingAnswer = { status: 200, notRun: false, stream: false, notice: {} }
/** The word of a target that it leaves. */
export const LEAVING = { [DIALECT.headers.leaving.header]: DIALECT.headers.leaving.value }
/** A refusal that asks for a backoff. */
export const TURNED_AWAY: NotifyingAnswer = {
	status: 503,
	notRun: true,
	stream: false,
	notice: { 'retry-after': String(BACKOFF_MS / 1_000) },
}

/** A request of a caller, and what became of it. */
interface Asked {
	readonly box: string
	readonly at: number
	readonly answeredAt: number
	readonly answer: Answer
}

/** What a {@link NoticeFleet} is made of. */
export interface NoticeFleetOptions {
	/** Number of boxes; {@link BOXES} where it is not said. */
	readonly boxes?: number
	/** Boxes hear each other, and have known each other for long. */
	readonly areInTouch?: boolean
}

/** Boxes over one store, and targets that the store lists as ready all the time. */
export class NoticeFleet {
	private readonly boxCount: number
	private readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	private boxes: readonly TestBox[] = []
	private targets: readonly NotifyingTarget[] = []
	private asked: Asked[] = []
	private spokeAt = Infinity

	/** `spoken`: what targets answer once they speak; the others answer well. */
	constructor(
		private spoken: Readonly<Record<string, NotifyingAnswer>>,
		private readonly options: NoticeFleetOptions = {},
	) {
		this.boxCount = options.boxes ?? BOXES
	}

	async start(): Promise<void> {
		this.store.put('config/now', JSON.stringify(configOf(1)))
		this.targets = Array.from({ length: TARGETS }, (_, i) => this.makeTarget(`t${i}`))
		for (const [i, target] of this.targets.entries()) {
			const entry = entryOf(`t${i}`, await target.start())
			this.store.put(`targets/t${i}`, JSON.stringify(entry))
		}
		this.boxes = await Promise.all(
			Array.from({ length: this.boxCount }, (_, i) => this.makeBox(`box-${i}`)),
		)
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.ready()))
		this.spokeAt = performance.now()
	}

	/** From now on targets answer so. */
	speak(spoken: Readonly<Record<string, NotifyingAnswer>>): void {
		this.spoken = spoken
	}

	async stop(): Promise<void> {
		for (const target of this.targets) target.stop()
		await Promise.all(this.boxes.map((box) => box.stop()))
	}

	/** Callers ask all boxes in turn; a request's id names the box. */
	async ask(routes: readonly string[], forMs: number): Promise<void> {
		const until = performance.now() + forMs
		const answers: Promise<void>[] = []
		for (let i = 0; performance.now() < until; i++) {
			const box = i % this.boxCount
			const route = routes[Math.floor(i / this.boxCount) % routes.length] ?? ''
			answers.push(this.askOne(box, `${route}x`, `box-${box} ${i}`))
			await sleep(PAUSE_MS)
		}
		await Promise.all(answers)
	}

	private async askOne(box: number, path: string, id: string): Promise<void> {
		const at = performance.now()
		const answer = await this.boxes[box]?.ask(path, { id })
		if (answer) this.asked.push({ box: `box-${box}`, at, answeredAt: performance.now(), answer })
	}

	/** Pairs of a box and a target that told it that it leaves. */
	get boxesToldToLeave(): number {
		return this.pairs((requests) => (toldToLeaveAt(requests) < Infinity ? 1 : 0))
	}

	/** Requests that reached a target later than the time of a drain after it told their box that it leaves. */
	get sentAfterDrain(): number {
		return this.pairs((requests) => {
			const bound = toldToLeaveAt(requests) + DRAIN_MS
			return requests.filter(({ at }) => at > bound).length
		})
	}

	/** Answers that asked a box for a backoff. */
	get backoffs(): number {
		return this.pairs((requests) => requests.filter(({ answer }) => asksForBackoff(answer)).length)
	}

	/** Most requests of one box that reached a target in the time of one backoff that it had asked that box for. */
	get mostInABackoff(): number {
		let most = 0
		this.pairs((requests) => {
			for (const { at, answer } of requests) {
				if (!asksForBackoff(answer)) continue
				const inBackoff = requests.filter(
					(other) => other.at > at + UNDER_WAY_MS && other.at < at + BACKOFF_MS,
				)
				most = Math.max(most, inBackoff.length)
			}
			return 0
		})
		return most
	}

	/** Times at which requests reached a target since targets speak, from boxes that had been told so long before. */
	timesAt(name: string, toldMs: number): readonly number[] {
		const requests = this.targets.find((target) => target.name === name)?.requests ?? []
		const spoken = requests.filter(({ at }) => at >= this.spokeAt)
		const toldAt = new Map<string, number>()
		for (const { at, answer, requestId } of spoken) {
			const box = idOf(requestId)
			if (!toldAt.has(box) && namesRate(answer)) toldAt.set(box, at)
		}
		const isTold = ({ at, requestId }: { at: number; requestId: string }): boolean =>
			at >= (toldAt.get(idOf(requestId)) ?? Infinity) + toldMs
		return spoken.filter(isTold).map(({ at }) => at)
	}

	/** Requests that were not served although they came so long after targets began to speak. */
	lateFailures(afterMs: number): number {
		const late = this.asked.filter(({ at }) => at > this.spokeAt + afterMs)
		return late.filter(({ answer }) => answer.status !== 200 || !answer.whole).length
	}

	/** Requests that were served of those that came so long after targets began to speak. */
	served(afterMs: number): number {
		const late = this.asked.filter(({ at }) => at > this.spokeAt + afterMs)
		return late.filter(({ answer }) => answer.status === 200 && answer.whole).length
	}

	/** Longest time until a caller was refused, in ms. */
	get slowestRefusalMs(): number {
		const refused = this.asked.filter(({ answer }) => answer.status === 503)
		return Math.max(0, ...refused.map(({ at, answeredAt }) => answeredAt - at))
	}

	/** Callers that were refused, and told to come back before any target takes work of their box again. */
	get calledBackTooSoon(): number {
		return this.asked.filter(({ box, answeredAt, answer }) => {
			if (answer.status !== 503) return false
			const backAt = answeredAt + Number(answer.headers['retry-after'] ?? 0) * 1_000
			return backAt < this.firstOpenAt(box, answeredAt)
		}).length
	}

	/** When the first target takes work of a box again, as far as it was told until then; 0: some take it now. */
	private firstOpenAt(box: string, now: number): number {
		const opens = this.targets.map(({ requests }) => {
			const told = requests.filter(
				({ requestId, at, answer }) =>
					idOf(requestId) === box && at < now && asksForBackoff(answer),
			)
			return Math.max(0, ...told.map(({ at }) => at + BACKOFF_MS))
		})
		return Math.min(...opens)
	}

	/** Sum over all pairs of a target and a box that sent to it, of what the target got from that box. */
	private pairs(count: (requests: NotifyingTarget['requests']) => number): number {
		let sum = 0
		for (const target of this.targets)
			for (let i = 0; i < this.boxCount; i++)
				sum += count(target.requests.filter(({ requestId }) => idOf(requestId) === `box-${i}`))
		return sum
	}

	/** A box that hears others is listed already, as one that starts again. */
	private async makeBox(name: string): Promise<TestBox> {
		if (!this.options.areInTouch) return new TestBox(name, this.store)
		const port = await freePort()
		const member = { zone: 'z1', address: `127.0.0.1:${port}`, cores: 1 }
		this.store.put(`box/${name}`, JSON.stringify(member))
		return new TestBox(name, this.store, port)
	}

	private makeTarget(name: string): NotifyingTarget {
		return new NotifyingTarget({
			name,
			headers: DIALECT.headers,
			workMs: WORK_MS,
			answer: () => (performance.now() < this.spokeAt ? GOOD : (this.spoken[name] ?? GOOD)),
		})
	}
}

function idOf(requestId: string): string {
	return requestId.split(' ')[0] ?? ''
}

function toldToLeaveAt(requests: NotifyingTarget['requests']): number {
	const { header } = DIALECT.headers.leaving
	return requests.find(({ answer }) => answer.notice[header] !== undefined)?.at ?? Infinity
}

function asksForBackoff({ notice }: NotifyingAnswer): boolean {
	return notice['retry-after'] !== undefined
}

function namesRate({ notice }: NotifyingAnswer): boolean {
	return notice[DIALECT.headers.requestRate] !== undefined
}
