import { brandId, type BoxName, type TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import { FleetRateLimiter, type FleetRateLimit } from './FleetRateLimiter.js'
import { advertisedRateLimit } from './advertisedRateLimit.js'

export interface RetrySimulationOptions {
	readonly boxes: number
	/** Targets of one service, all with the same rate limit. */
	readonly targets: number
	/** Rate limit that each target advertises, in requests per second. */
	readonly perSecond: number
	/** Rate of arriving requests, as a multiple of the capacity of all targets. */
	readonly load: number
	/** Number of boxes in a zone. Callers retry at a random box of the same zone. */
	readonly boxesPerZone: number
	/** Callers wait until the box that refused them may send again (`own-turn`), or any box may (`any-turn`). */
	readonly waitFor: 'own-turn' | 'any-turn'
	readonly random: () => number
}

/** Results as fractions of all requests. */
export interface RetrySimulationResult {
	readonly served: number
	/** Served within `TARGET_LATENCY_MS`. */
	readonly inTime: number
}

interface SimulatedCall {
	box: number
	readonly startedAt: Millis
	isRetry: boolean
}

const TARGET_LATENCY_MS: Millis = 600
const DEADLINE_MS: Millis = 6_000
const STEP_MS: Millis = 10
const SIMULATED_MS: Millis = 60_000
/** Minimum delay that callers are asked to wait before a retry. */
const MIN_RETRY_DELAY_MS: Millis = 100
/** Maximum random delay in addition. */
const RETRY_JITTER_MS: Millis = 200
/** Maximum wait before a retry, as a fraction of the time left until the deadline. */
const MAX_WAIT_FRACTION = 1 / 3
const SECOND_MS = 1_000

/** Simulates a service whose targets all advertise rate limits. Refused callers retry once. */
export function simulateRetries(options: RetrySimulationOptions): RetrySimulationResult {
	return new RetrySimulation(options).run()
}

class RetrySimulation {
	private readonly limiters: readonly FleetRateLimiter[]
	private readonly targets: readonly TargetName[]
	private readonly limit: FleetRateLimit
	private pendingRetries: { readonly at: Millis; readonly call: SimulatedCall }[] = []
	private now: Millis = 0
	private requests = 0
	private served = 0
	private inTime = 0

	constructor(private readonly options: RetrySimulationOptions) {
		const boxes = Array.from({ length: options.boxes }, (_, i) => brandId<BoxName>(`box-${i}`))
		this.limiters = boxes.map(
			(self) => new FleetRateLimiter({ self, boxes: () => boxes, isSettled: () => true }),
		)
		this.targets = Array.from({ length: options.targets }, (_, i) => brandId<TargetName>(`t${i}`))
		this.limit = {
			...advertisedRateLimit({ perSecond: options.perSecond, reportedAt: 0 }),
			probe: undefined,
		}
	}

	run(): RetrySimulationResult {
		for (; this.now < SIMULATED_MS; this.now += STEP_MS) {
			const due = this.pendingRetries.filter(({ at }) => at <= this.now)
			this.pendingRetries = this.pendingRetries.filter(({ at }) => at > this.now)
			for (const { call } of due) this.dispatch(call)
			for (let i = this.arrivals(); i > 0; i--) this.addCall()
		}
		return { served: this.served / this.requests, inTime: this.inTime / this.requests }
	}

	private get capacityPerSecond(): number {
		return this.options.perSecond * this.options.targets
	}

	private arrivals(): number {
		return Math.floor(
			(this.options.load * this.capacityPerSecond * STEP_MS) / SECOND_MS + this.options.random(),
		)
	}

	private addCall(): void {
		const box = Math.floor(this.options.random() * this.options.boxes)
		this.requests++
		this.dispatch({ box, startedAt: this.now, isRetry: false })
	}

	private dispatch(call: SimulatedCall): void {
		const limiter = this.limiters[call.box]
		const target = this.targets.find((name) => limiter?.canSend(name, this.limit, this.now))
		if (!target) {
			this.scheduleRetry(call)
			return
		}
		limiter?.consume(target, this.limit, this.now)
		this.served++
		if (this.now - call.startedAt <= TARGET_LATENCY_MS) this.inTime++
	}

	private scheduleRetry(call: SimulatedCall): void {
		if (call.isRetry) return
		const { random } = this.options
		const delayMs = Math.max(MIN_RETRY_DELAY_MS, this.waitMs(call.box)) + random() * RETRY_JITTER_MS
		const leftMs = DEADLINE_MS - (this.now - call.startedAt)
		call.isRetry = true
		call.box = this.boxInSameZone(call.box)
		this.pendingRetries.push({ at: this.now + Math.min(delayMs, leftMs * MAX_WAIT_FRACTION), call })
	}

	private waitMs(box: number): Millis {
		if (this.options.waitFor === 'any-turn') return SECOND_MS / this.capacityPerSecond
		const nextSendTimes = this.targets.map(
			(name) => this.limiters[box]?.nextSendAt(name, this.limit, this.now) ?? Infinity,
		)
		return Math.min(...nextSendTimes) - this.now
	}

	/** A random box of the same zone. */
	private boxInSameZone(box: number): number {
		const { boxes, boxesPerZone, random } = this.options
		const first = box - (box % boxesPerZone)
		return first + Math.floor(random() * Math.min(boxesPerZone, boxes - first))
	}
}
