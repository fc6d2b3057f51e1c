import { brandId, type TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { AttemptHandle } from './AttemptHandle.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetEntry } from './TargetEntry.js'
import { SERVICE, entry, query } from './testEntries.js'

/** What is played by {@link simulateOverload}. */
export interface OverloadSimulationOptions {
	readonly random: () => number
	readonly boxes: number
	readonly targets: number
	/** Requests that a target works on at the same time, and that wait there; it turns away what comes beyond. */
	readonly slots: number
	readonly maxQueued: number
	/** Time that a request takes, in ms. */
	readonly workMs: Millis
	/** Load during the burst and at other times, as a multiple of what all targets bear. */
	readonly burstLoad: number
	readonly baseLoad: number
	/** Time that a target wants to be left alone when it turns a request away, in ms. */
	readonly backoffMs: Millis
	/** How often a caller comes back. */
	readonly retries: number
	/** How long a caller waits in all, in ms. */
	readonly callerTimeoutMs: Millis
	/** See `AdmissionOptions`. */
	readonly reopeningMs?: Millis
}

/** What became of it. */
export interface OverloadSimulationResult {
	readonly requests: number
	readonly served: number
	/** Requests that targets turned away. */
	readonly rejected: number
}

/** A request of a caller. */
interface SimulatedCall {
	readonly box: number
	readonly deadlineAt: Millis
	retries: number
}

interface SimulatedAttempt {
	readonly call: SimulatedCall
	readonly handle: AttemptHandle
	endsAt: Millis
}

interface SimulatedTarget {
	readonly entry: TargetEntry
	running: SimulatedAttempt[]
	waiting: SimulatedAttempt[]
}

const STEP_MS: Millis = 5
const SIMULATED_MS: Millis = 15_000
const BURST_FROM_MS: Millis = 1_000
const BURST_UNTIL_MS: Millis = 4_000
/** What callers are asked to wait at least, and the spread over which they come back, in ms. */
const MIN_RETRY_DELAY_MS: Millis = 100
const RETRY_JITTER_MS: Millis = 200
/** Part of the time that is left which a caller waits at most before it comes back. */
const MAX_WAIT_FRACTION = 1 / 3

/**
 * The pattern of a service that is over its capacity for some seconds: its targets turn requests away and ask boxes
 * for a backoff, callers are refused meanwhile and come back together. Boards of boxes that do not hear each other.
 */
export function simulateOverload(options: OverloadSimulationOptions): OverloadSimulationResult {
	return new OverloadSimulation(options).run()
}

class OverloadSimulation {
	private readonly registries: readonly TargetRegistry[]
	private readonly targets: readonly SimulatedTarget[]
	private readonly byName: ReadonlyMap<TargetName, SimulatedTarget>
	private pendingRetries: { readonly at: Millis; readonly call: SimulatedCall }[] = []
	private now: Millis = 0
	private requests = 0
	private served = 0
	private rejected = 0

	constructor(private readonly options: OverloadSimulationOptions) {
		const names = Array.from({ length: options.targets }, (_, i) => `t${i}`)
		const slots = options.slots
		this.targets = names.map((name) => ({
			entry: entry(name, { slots }),
			running: [],
			waiting: [],
		}))
		this.byName = new Map(this.targets.map((target) => [brandId(target.entry.name), target]))
		const { reopeningMs } = options
		this.registries = Array.from({ length: options.boxes }, () => {
			const board = new TargetRegistry(reopeningMs === undefined ? {} : { reopeningMs })
			board.replace(
				this.targets.map((target) => target.entry),
				0,
			)
			return board
		})
	}

	run(): OverloadSimulationResult {
		for (; this.now < SIMULATED_MS; this.now += STEP_MS) {
			for (const target of this.targets) this.advance(target)
			const back = this.pendingRetries.filter(({ at }) => at <= this.now)
			this.pendingRetries = this.pendingRetries.filter(({ at }) => at > this.now)
			for (const { call } of back) this.dispatch(call)
			for (let i = this.arrivals(); i > 0; i--) this.addCall()
		}
		const { requests: asked, served, rejected: turnedAway } = this
		return { requests: asked, served, rejected: turnedAway }
	}

	private arrivals(): number {
		const { targets, slots, workMs, burstLoad: burst, baseLoad: calm, random } = this.options
		const isBurst = this.now >= BURST_FROM_MS && this.now < BURST_UNTIL_MS
		const mean = ((targets * slots) / workMs) * STEP_MS * (isBurst ? burst : calm)
		return Math.floor(mean + random())
	}

	private addCall(): void {
		const { boxes, callerTimeoutMs: patienceMs, random, retries } = this.options
		this.requests++
		this.dispatch({ box: Math.floor(random() * boxes), deadlineAt: this.now + patienceMs, retries })
	}

	private dispatch(call: SimulatedCall): void {
		const board = this.registries[call.box]
		const place = board?.choose(query(), this.now)
		if (!board || !place) {
			this.scheduleRetry(call)
			return
		}
		const handle = board.beginAttempt(place, undefined, this.now)
		const target = this.byName.get(place.target.name)
		if (!target) return
		if (target.waiting.length < this.options.maxQueued) {
			target.waiting.push({ call, handle, endsAt: Infinity })
			return
		}
		this.rejected++
		handle.noteByte(this.now)
		handle.noteBackoff(this.options.backoffMs, this.now)
		handle.end('full', this.now)
		this.scheduleRetry(call)
	}

	private scheduleRetry(call: SimulatedCall): void {
		const leftMs = call.deadlineAt - this.now
		if (call.retries === 0 || leftMs < MIN_RETRY_DELAY_MS) return
		call.retries--
		const opensInMs = this.registries[call.box]?.closedCause(SERVICE, this.now)?.opensInMs ?? 0
		const pauseMs =
			Math.max(MIN_RETRY_DELAY_MS, opensInMs) + this.options.random() * RETRY_JITTER_MS
		const at = this.now + Math.min(pauseMs, leftMs * MAX_WAIT_FRACTION)
		this.pendingRetries.push({ at, call })
	}

	private advance(target: SimulatedTarget): void {
		for (const run of target.running.filter(({ endsAt }) => endsAt <= this.now)) {
			run.handle.noteByte(this.now)
			run.handle.end('good', this.now)
			if (run.call.deadlineAt >= this.now) this.served++
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
