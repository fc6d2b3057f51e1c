import { brandId, type BoxName, type TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import { FleetRateGate, type FleetRate } from './FleetRateGate.js'
import { namedRate } from './namedRate.js'

/** What is played by {@link playReturns}. */
export interface ReturnModelOptions {
	readonly boxes: number
	/** Targets of one service; each names the same rate. */
	readonly targets: number
	readonly perSecond: number
	/** Requests that arrive, as a multiple of what the targets take. */
	readonly load: number
	/** Boxes of a zone: a caller who comes back does so on a new connection to one of them. */
	readonly boxesOfZone: number
	/** Callers are asked to wait for the next turn of the box that refused them, or of any. */
	readonly until: 'own-turn' | 'any-turn'
	readonly random: () => number
}

/** What became of the requests, as parts of all. */
export interface ReturnModelResult {
	readonly served: number
	/** Served within {@link AIM_MS}. */
	readonly inTime: number
}

interface ModelCall {
	box: number
	readonly bornAt: Millis
	isReturn: boolean
}

const AIM_MS: Millis = 600
const DEADLINE_MS: Millis = 6_000
const STEP_MS: Millis = 10
const PLAYED_MS: Millis = 60_000
/** What callers are asked to wait at least, and the spread over which they come back, in ms. */
const LEAST_PAUSE_MS: Millis = 100
const SPREAD_MS: Millis = 200
/** Part of the time that is left which a caller waits at most. */
const MOST_WAITED = 1 / 3
const SECOND_MS = 1_000

/** All targets of a service name rates; callers who are refused come back once. */
export function playReturns(options: ReturnModelOptions): ReturnModelResult {
	return new ReturnModel(options).play()
}

class ReturnModel {
	private readonly gates: readonly FleetRateGate[]
	private readonly targets: readonly TargetName[]
	private readonly rate: FleetRate
	private returning: { readonly at: Millis; readonly call: ModelCall }[] = []
	private now: Millis = 0
	private asked = 0
	private served = 0
	private inTime = 0

	constructor(private readonly options: ReturnModelOptions) {
		const boxes = Array.from({ length: options.boxes }, (_, i) => brandId<BoxName>(`box-${i}`))
		this.gates = boxes.map(
			(self) => new FleetRateGate({ self, boxes: () => boxes, isSettled: () => true }),
		)
		this.targets = Array.from({ length: options.targets }, (_, i) => brandId<TargetName>(`t${i}`))
		this.rate = { ...namedRate({ perSecond: options.perSecond, saidAt: 0 }), trial: undefined }
	}

	play(): ReturnModelResult {
		for (; this.now < PLAYED_MS; this.now += STEP_MS) {
			const back = this.returning.filter(({ at }) => at <= this.now)
			this.returning = this.returning.filter(({ at }) => at > this.now)
			for (const { call } of back) this.ask(call)
			for (let i = this.arrivals(); i > 0; i--) this.arrive()
		}
		return { served: this.served / this.asked, inTime: this.inTime / this.asked }
	}

	private get taken(): number {
		return this.options.perSecond * this.options.targets
	}

	private arrivals(): number {
		return Math.floor(
			(this.options.load * this.taken * STEP_MS) / SECOND_MS + this.options.random(),
		)
	}

	private arrive(): void {
		const box = Math.floor(this.options.random() * this.options.boxes)
		this.asked++
		this.ask({ box, bornAt: this.now, isReturn: false })
	}

	private ask(call: ModelCall): void {
		const gate = this.gates[call.box]
		const target = this.targets.find((name) => gate?.isOpen(name, this.rate, this.now))
		if (!target) {
			this.refuse(call)
			return
		}
		gate?.take(target, this.rate, this.now)
		this.served++
		if (this.now - call.bornAt <= AIM_MS) this.inTime++
	}

	private refuse(call: ModelCall): void {
		if (call.isReturn) return
		const { random } = this.options
		const pauseMs = Math.max(LEAST_PAUSE_MS, this.turnMs(call.box)) + random() * SPREAD_MS
		const leftMs = DEADLINE_MS - (this.now - call.bornAt)
		call.isReturn = true
		call.box = this.otherBox(call.box)
		this.returning.push({ at: this.now + Math.min(pauseMs, leftMs * MOST_WAITED), call })
	}

	private turnMs(box: number): Millis {
		if (this.options.until === 'any-turn') return SECOND_MS / this.taken
		const turns = this.targets.map(
			(name) => this.gates[box]?.opensAt(name, this.rate, this.now) ?? Infinity,
		)
		return Math.min(...turns) - this.now
	}

	/** A box of the same zone. */
	private otherBox(box: number): number {
		const { boxes, boxesOfZone, random } = this.options
		const first = box - (box % boxesOfZone)
		return first + Math.floor(random() * Math.min(boxesOfZone, boxes - first))
	}
}
