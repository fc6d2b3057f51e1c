import { brandId, type BoxName, type TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import { FleetRateLimiter, type FleetRateLimit } from './FleetRateLimiter.js'
import { advertisedRateLimit } from './advertisedRateLimit.js'

/** What is played by {@link simulateRetries}. */
export interface RetrySimulationOptions {
	readonly boxes: number
	/** Targets of one service; each names the same rate. */
	readonly targets: number
	readonly perSecond: number
	/** Requests that arrive, as a multiple of what the targets take. */
	readonly load: number
	/** Boxes of a zone: a caller who comes back does so on a new connection to one of them. */
	readonly boxesPerZone: number
	/** Callers are asked to wait for the next turn of the box that refused them, or of any. */
	readonly until: 'own-turn' | 'any-turn'
	readonly random: () => number
}

/** What became of the requests, as parts of all. */
export interface RetrySimulationResult {
	readonly served: number
	/** Served within {@link TARGET_LATENCY_MS}. */
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
/** What callers are asked to wait at least, and the spread over which they come back, in ms. */
const MIN_RETRY_DELAY_MS: Millis = 100
const RETRY_JITTER_MS: Millis = 200
/** Part of the time that is left which a caller waits at most. */
const MAX_WAIT_FRACTION = 1 / 3
const SECOND_MS = 1_000

/** All targets of a service name rates; callers who are refused come back once. */
export function simulateRetries(options: RetrySimulationOptions): RetrySimulationResult {
	return new RetrySimulation(options).run()
}

class RetrySimulation {
	private readonly limiters: readonly FleetRateLimiter[]
	private readonly targets: readonly TargetName[]
	private readonly rate: FleetRateLimit
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
		this.rate = {
			...advertisedRateLimit({ perSecond: options.perSecond, saidAt: 0 }),
			probe: undefined,
		}
	}

	run(): RetrySimulationResult {
		for (; this.now < SIMULATED_MS; this.now += STEP_MS) {
			const back = this.pendingRetries.filter(({ at }) => at <= this.now)
			this.pendingRetries = this.pendingRetries.filter(({ at }) => at > this.now)
			for (const { call } of back) this.dispatch(call)
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
		const gate = this.limiters[call.box]
		const target = this.targets.find((name) => gate?.canSend(name, this.rate, this.now))
		if (!target) {
			this.scheduleRetry(call)
			return
		}
		gate?.consume(target, this.rate, this.now)
		this.served++
		if (this.now - call.startedAt <= TARGET_LATENCY_MS) this.inTime++
	}

	private scheduleRetry(call: SimulatedCall): void {
		if (call.isRetry) return
		const { random } = this.options
		const pauseMs = Math.max(MIN_RETRY_DELAY_MS, this.waitMs(call.box)) + random() * RETRY_JITTER_MS
		const leftMs = DEADLINE_MS - (this.now - call.startedAt)
		call.isRetry = true
		call.box = this.boxInSameZone(call.box)
		this.pendingRetries.push({ at: this.now + Math.min(pauseMs, leftMs * MAX_WAIT_FRACTION), call })
	}

	private waitMs(box: number): Millis {
		if (this.options.until === 'any-turn') return SECOND_MS / this.capacityPerSecond
		const turns = this.targets.map(
			(name) => this.limiters[box]?.nextSendAt(name, this.rate, this.now) ?? Infinity,
		)
		return Math.min(...turns) - this.now
	}

	/** A box of the same zone. */
	private boxInSameZone(box: number): number {
		const { boxes, boxesPerZone: boxesOfZone, random } = this.options
		const first = box - (box % boxesOfZone)
		return first + Math.floor(random() * Math.min(boxesOfZone, boxes - first))
	}
}
