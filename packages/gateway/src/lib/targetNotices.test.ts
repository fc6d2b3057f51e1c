/**
 * What was seen: boxes sent requests to a target 2.2 s and 4.5 s after it had said in an answer that it leaves, and
 * three and four requests in the 3 s for which targets had asked a box for rest.
 * How it came about: the store was away, so that the list went on saying that the target is ready; and two targets of
 * six that turned all requests away at once looked the cheapest, for they had no work.
 * Cause: a box took the load of a target from its answers, and nothing else. What it says there of its leaving was not
 * read, and being turned away changed nothing that is believed of a target.
 * Proof: the line of each choice after such an answer shows the entry of before the outage and all targets as
 * candidates, beside a load exactly as old as that answer.
 */
import { MemoryStore, NotifyingTarget, type NotifyingAnswer } from '@stallwing/standins'
import { afterEach, describe, expect, it } from 'vitest'
import { sleep } from './sleep.js'
import { DIALECT, TestBox, configOf, entryOf, type Answer } from './testBox.js'

const BOXES = 3
const TARGETS = 6
/** Pause between two requests, in ms. */
const PAUSE_MS = 12
/** Time that a request takes: each box has some under way, so that it uses several targets. */
const WORK_MS = 100
/** Time after the word of a target that it leaves in which a box may still send there, in ms. */
const DRAIN_MS = 2_000
/** For how long requests are sent once targets speak: the time of a drain, and as long after it as it takes to see. */
const LEAVING_MS = 3_500
/** Rest that targets ask for. */
const REST_MS = 1_500
/** Time after the word in which what was on its way may still arrive, in ms, and how many may after that. */
const UNDER_WAY_MS = 500
const MOST_IN_REST = 2
/** For how long requests are sent while targets turn boxes away: two rests. */
const RESTING_MS = 3_500

const GOOD: NotifyingAnswer = { status: 200, notRun: false, stream: false, notice: {} }
const LEAVING = { [DIALECT.headers.leaving.header]: DIALECT.headers.leaving.value }
const TURNED_AWAY: NotifyingAnswer = {
	status: 503,
	notRun: true,
	stream: false,
	notice: { 'retry-after': String(REST_MS / 1_000) },
}

describe('what targets say of themselves in their answers', () => {
	let fleet: NoticeFleet
	afterEach(() => fleet.stop())

	it('keeps a box from targets that leave, whatever the answer and whatever the list says', async () => {
		fleet = new NoticeFleet({
			t0: { ...GOOD, notice: LEAVING },
			t1: { ...GOOD, status: 503, notRun: true, notice: LEAVING },
			t2: { ...GOOD, stream: true, notice: LEAVING },
			t3: { ...GOOD, status: 500, notice: LEAVING },
		})
		await fleet.start()
		await fleet.ask(['/once/', '/again/', '/resume/'], LEAVING_MS)
		expect(fleet.boxesToldToLeave).toBeGreaterThan(BOXES)
		expect(fleet.sentAfterDrain).toBe(0)
		expect(fleet.lateFailures(DRAIN_MS)).toBe(0)
	})

	it('leaves targets alone for as long as they ask a box to', async () => {
		fleet = new NoticeFleet({ t0: TURNED_AWAY, t1: TURNED_AWAY })
		await fleet.start()
		await fleet.ask(['/once/', '/again/'], RESTING_MS)
		expect(fleet.rests).toBeGreaterThan(BOXES)
		expect(fleet.mostInARest).toBeLessThanOrEqual(MOST_IN_REST)
	})

	it('refuses at once while all targets rest, and tells callers when the first one takes work again', async () => {
		const all = Array.from({ length: TARGETS }, (_, i) => [`t${i}`, TURNED_AWAY] as const)
		fleet = new NoticeFleet(Object.fromEntries(all))
		await fleet.start()
		await fleet.ask(['/once/', '/again/'], RESTING_MS)
		expect(fleet.mostInARest).toBeLessThanOrEqual(MOST_IN_REST)
		expect(fleet.calledBackTooSoon).toBe(0)
	})
})

/** A request of a caller, and what became of it. */
interface Asked {
	readonly box: string
	readonly at: number
	readonly answeredAt: number
	readonly answer: Answer
}

/** Boxes over one store, and targets that the store lists as ready all the time. */
class NoticeFleet {
	private readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	private boxes: readonly TestBox[] = []
	private targets: readonly NotifyingTarget[] = []
	private asked: Asked[] = []
	private spokeAt = Infinity

	/** `spoken`: what targets answer once they speak; the others answer well. */
	constructor(private readonly spoken: Readonly<Record<string, NotifyingAnswer>>) {}

	async start(): Promise<void> {
		this.store.put('config/now', JSON.stringify(configOf(1)))
		this.targets = Array.from({ length: TARGETS }, (_, i) => this.makeTarget(`t${i}`))
		for (const [i, target] of this.targets.entries()) {
			const entry = entryOf(`t${i}`, await target.start())
			this.store.put(`targets/t${i}`, JSON.stringify(entry))
		}
		this.boxes = Array.from({ length: BOXES }, (_, i) => new TestBox(`box-${i}`, this.store))
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.ready()))
		this.spokeAt = performance.now()
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
			const box = i % BOXES
			const route = routes[Math.floor(i / BOXES) % routes.length] ?? ''
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

	/** Answers that asked a box for rest. */
	get rests(): number {
		return this.pairs((requests) => requests.filter(({ answer }) => asksForRest(answer)).length)
	}

	/** Most requests of one box that reached a target in one rest that it had asked that box for. */
	get mostInARest(): number {
		let most = 0
		this.pairs((requests) => {
			for (const { at, answer } of requests) {
				if (!asksForRest(answer)) continue
				const inRest = requests.filter(
					(other) => other.at > at + UNDER_WAY_MS && other.at < at + REST_MS,
				)
				most = Math.max(most, inRest.length)
			}
			return 0
		})
		return most
	}

	/** Requests that were not served although they came so long after targets began to speak. */
	lateFailures(afterMs: number): number {
		const late = this.asked.filter(({ at }) => at > this.spokeAt + afterMs)
		return late.filter(({ answer }) => answer.status !== 200 || !answer.whole).length
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
				({ requestId, at, answer }) => idOf(requestId) === box && at < now && asksForRest(answer),
			)
			return Math.max(0, ...told.map(({ at }) => at + REST_MS))
		})
		return Math.min(...opens)
	}

	/** Sum over all pairs of a target and a box that sent to it, of what the target got from that box. */
	private pairs(count: (requests: NotifyingTarget['requests']) => number): number {
		let sum = 0
		for (const target of this.targets)
			for (let i = 0; i < BOXES; i++)
				sum += count(target.requests.filter(({ requestId }) => idOf(requestId) === `box-${i}`))
		return sum
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

function asksForRest({ notice }: NotifyingAnswer): boolean {
	return notice['retry-after'] !== undefined
}
