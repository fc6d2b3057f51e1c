import { brandId, type TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import type { AttemptHandle } from './AttemptHandle.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetEntry } from './TargetEntry.js'
import { SERVICE, entry, query } from './testEntries.js'

export interface OverloadSimulationOptions {
	readonly random: () => number
	readonly boxes: number
	readonly targets: number
	/** Requests that a target processes concurrently. */
	readonly slots: number
	/** Requests that wait at a target. It rejects requests above this number. */
	readonly maxQueued: number
	/** Mean processing time of a request, in ms. */
	readonly workMs: Millis
	/** Load during the burst, as a multiple of the capacity of all targets. */
	readonly burstLoad: number
	/** Load outside the burst, as a multiple of the capacity of all targets. */
	readonly baseLoad: number
	/** Backoff that a target requests when it rejects a request, in ms. */
	readonly backoffMs: Millis
	/** Maximum number of retries of a caller. */
	readonly retries: number
	/** Total time that a caller waits, in ms. */
	readonly callerTimeoutMs: Millis
	/** See `AdmissionOptions`. */
	readonly halfOpenMs?: Millis
}

export interface OverloadSimulationResult {
	readonly requests: number
	readonly served: number
	/** Attempts that targets rejected. */
	readonly rejected: number
}

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
/** Minimum delay that callers are asked to wait before a retry. */
const MIN_RETRY_DELAY_MS: Millis = 100
/** Maximum random delay in addition. */
const RETRY_JITTER_MS: Millis = 200
/** Maximum wait before a retry, as a fraction of the time left until the deadline. */
const MAX_WAIT_FRACTION = 1 / 3

/**
 * Simulates a service that is over its capacity for some seconds: targets reject requests and request backoffs, and
 * callers refused during the backoffs retry together. The boxes do not share work reports.
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
		const { halfOpenMs } = options
		this.registries = Array.from({ length: options.boxes }, () => {
			const registry = new TargetRegistry(halfOpenMs === undefined ? {} : { halfOpenMs })
			registry.replace(
				this.targets.map((target) => target.entry),
				0,
			)
			return registry
		})
	}

	run(): OverloadSimulationResult {
		for (; this.now < SIMULATED_MS; this.now += STEP_MS) {
			for (const target of this.targets) this.advance(target)
			const due = this.pendingRetries.filter(({ at }) => at <= this.now)
			this.pendingRetries = this.pendingRetries.filter(({ at }) => at > this.now)
			for (const { call } of due) this.dispatch(call)
			for (let i = this.arrivals(); i > 0; i--) this.addCall()
		}
		const { requests, served, rejected } = this
		return { requests, served, rejected }
	}

	private arrivals(): number {
		const { targets, slots, workMs, burstLoad, baseLoad, random } = this.options
		const isBurst = this.now >= BURST_FROM_MS && this.now < BURST_UNTIL_MS
		const mean = ((targets * slots) / workMs) * STEP_MS * (isBurst ? burstLoad : baseLoad)
		return Math.floor(mean + random())
	}

	private addCall(): void {
		const { boxes, callerTimeoutMs, random, retries } = this.options
		this.requests++
		this.dispatch({
			box: Math.floor(random() * boxes),
			deadlineAt: this.now + callerTimeoutMs,
			retries,
		})
	}

	private dispatch(call: SimulatedCall): void {
		const registry = this.registries[call.box]
		const placement = registry?.choose(query(), this.now)
		if (!registry || !placement) {
			this.scheduleRetry(call)
			return
		}
		const handle = registry.beginAttempt(placement, undefined, this.now)
		const target = this.byName.get(placement.target.name)
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
		const delayMs =
			Math.max(MIN_RETRY_DELAY_MS, opensInMs) + this.options.random() * RETRY_JITTER_MS
		const at = this.now + Math.min(delayMs, leftMs * MAX_WAIT_FRACTION)
		this.pendingRetries.push({ at, call })
	}

	private advance(target: SimulatedTarget): void {
		for (const attempt of target.running.filter(({ endsAt }) => endsAt <= this.now)) {
			attempt.handle.noteByte(this.now)
			attempt.handle.end('good', this.now)
			if (attempt.call.deadlineAt >= this.now) this.served++
		}
		target.running = target.running.filter(({ endsAt }) => endsAt > this.now)
		while (target.running.length < this.options.slots && target.waiting.length > 0) {
			const [attempt] = target.waiting.splice(0, 1)
			if (!attempt) return
			attempt.endsAt = this.now + this.options.workMs * (0.5 + this.options.random())
			target.running.push(attempt)
		}
	}
}
