import { brandId, type TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { AttemptHandle } from './AttemptHandle.js'
import { TargetBoard } from './TargetBoard.js'
import type { TargetEntry } from './TargetEntry.js'
import { SERVICE, entry, query } from './testEntries.js'

/** What is played by {@link playOverload}. */
export interface OverloadOptions {
	readonly random: () => number
	readonly boxes: number
	readonly targets: number
	/** Requests that a target works on at the same time, and that wait there; it turns away what comes beyond. */
	readonly slots: number
	readonly queue: number
	/** Time that a request takes, in ms. */
	readonly workMs: Millis
	/** Load during the burst and at other times, as a multiple of what all targets bear. */
	readonly burst: number
	readonly calm: number
	/** Time that a target wants to be left alone when it turns a request away, in ms. */
	readonly backoffMs: Millis
	/** How often a caller comes back. */
	readonly retries: number
	/** How long a caller waits in all, in ms. */
	readonly patienceMs: Millis
	/** See `AdmissionOptions`. */
	readonly reopeningMs?: Millis
}

/** What became of it. */
export interface OverloadResult {
	readonly asked: number
	readonly served: number
	/** Requests that targets turned away. */
	readonly turnedAway: number
}

/** A request of a caller. */
interface ModelCall {
	readonly box: number
	readonly until: Millis
	retries: number
}

interface ModelRun {
	readonly call: ModelCall
	readonly handle: AttemptHandle
	endsAt: Millis
}

interface ModelTarget {
	readonly entry: TargetEntry
	running: ModelRun[]
	waiting: ModelRun[]
}

const STEP_MS: Millis = 5
const DAY_MS: Millis = 15_000
const BURST_FROM_MS: Millis = 1_000
const BURST_UNTIL_MS: Millis = 4_000
/** What callers are asked to wait at least, and the spread over which they come back, in ms. */
const LEAST_PAUSE_MS: Millis = 100
const SPREAD_MS: Millis = 200
/** Part of the time that is left which a caller waits at most before it comes back. */
const MOST_WAITED = 1 / 3

/**
 * The pattern of a service that is over its capacity for some seconds: its targets turn requests away and ask boxes
 * for a backoff, callers are refused meanwhile and come back together. Boards of boxes that do not hear each other.
 */
export function playOverload(options: OverloadOptions): OverloadResult {
	return new OverloadModel(options).play()
}

class OverloadModel {
	private readonly boards: readonly TargetBoard[]
	private readonly targets: readonly ModelTarget[]
	private readonly byName: ReadonlyMap<TargetName, ModelTarget>
	private returning: { readonly at: Millis; readonly call: ModelCall }[] = []
	private now: Millis = 0
	private asked = 0
	private served = 0
	private turnedAway = 0

	constructor(private readonly options: OverloadOptions) {
		const names = Array.from({ length: options.targets }, (_, i) => `t${i}`)
		const slots = options.slots
		this.targets = names.map((name) => ({
			entry: entry(name, { slots }),
			running: [],
			waiting: [],
		}))
		this.byName = new Map(this.targets.map((target) => [brandId(target.entry.name), target]))
		const { reopeningMs } = options
		this.boards = Array.from({ length: options.boxes }, () => {
			const board = new TargetBoard(reopeningMs === undefined ? {} : { reopeningMs })
			board.replace(
				this.targets.map((target) => target.entry),
				0,
			)
			return board
		})
	}

	play(): OverloadResult {
		for (; this.now < DAY_MS; this.now += STEP_MS) {
			for (const target of this.targets) this.advance(target)
			const back = this.returning.filter(({ at }) => at <= this.now)
			this.returning = this.returning.filter(({ at }) => at > this.now)
			for (const { call } of back) this.ask(call)
			for (let i = this.arrivals(); i > 0; i--) this.arrive()
		}
		const { asked, served, turnedAway } = this
		return { asked, served, turnedAway }
	}

	private arrivals(): number {
		const { targets, slots, workMs, burst, calm, random } = this.options
		const isBurst = this.now >= BURST_FROM_MS && this.now < BURST_UNTIL_MS
		const mean = ((targets * slots) / workMs) * STEP_MS * (isBurst ? burst : calm)
		return Math.floor(mean + random())
	}

	private arrive(): void {
		const { boxes, patienceMs, random, retries } = this.options
		this.asked++
		this.ask({ box: Math.floor(random() * boxes), until: this.now + patienceMs, retries })
	}

	private ask(call: ModelCall): void {
		const board = this.boards[call.box]
		const place = board?.choose(query(), this.now)
		if (!board || !place) {
			this.refuse(call)
			return
		}
		const handle = board.begin(place, undefined, this.now)
		const target = this.byName.get(place.target.name)
		if (!target) return
		if (target.waiting.length < this.options.queue) {
			target.waiting.push({ call, handle, endsAt: Infinity })
			return
		}
		this.turnedAway++
		handle.noteByte(this.now)
		handle.noteBackoff(this.options.backoffMs, this.now)
		handle.end('full', this.now)
		this.refuse(call)
	}

	private refuse(call: ModelCall): void {
		const leftMs = call.until - this.now
		if (call.retries === 0 || leftMs < LEAST_PAUSE_MS) return
		call.retries--
		const opensInMs = this.boards[call.box]?.closedCause(SERVICE, this.now)?.opensInMs ?? 0
		const pauseMs = Math.max(LEAST_PAUSE_MS, opensInMs) + this.options.random() * SPREAD_MS
		const at = this.now + Math.min(pauseMs, leftMs * MOST_WAITED)
		this.returning.push({ at, call })
	}

	private advance(target: ModelTarget): void {
		for (const run of target.running.filter(({ endsAt }) => endsAt <= this.now)) {
			run.handle.noteByte(this.now)
			run.handle.end('good', this.now)
			if (run.call.until >= this.now) this.served++
		}
		target.running = target.running.filter(({ endsAt }) => endsAt > this.now)
		while (target.running.length < this.options.slots && target.waiting.length > 0) {
			const [run] = target.waiting.splice(0, 1)
			if (!run) return
			run.endsAt = this.now + this.options.workMs * (0.5 + this.options.random())
			target.running.push(run)
		}
	}
}
