import { fnv1a } from '../fnv1a.js'
import { brandId, type AccountName, type ServiceName } from '../ids.js'
import type { Millis } from '../units.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import { ServiceAdmission } from './ServiceAdmission.js'
import { WorkEstimator } from './WorkEstimator.js'

/** Requests that arrive at a constant rate. */
export interface ModelStream {
	readonly name: string
	readonly account: string
	readonly rank: number
	/** Requests per second at a time. */
	readonly perSecond: (at: Millis) => number
	readonly workMs: Millis
	/** Time within which an answer is useful. */
	readonly goalMs: Millis
	/** Box that all its callers use; undefined if each of them uses a box at random, always the same. */
	readonly box?: number
	/** Number of immediate retries after a refusal. */
	readonly retries?: number
}

/** `today`: requests go to the targets at once, which queue them first come, first served. */
export type ModelPolicy = 'today' | 'rank-only' | 'rank-and-fair-share'

export interface ModelOptions {
	readonly policy: ModelPolicy
	readonly boxes: number
	readonly targets: number
	readonly slots: number
	readonly streams: readonly ModelStream[]
	readonly durationMs?: Millis
	/** Only requests that arrive in this period are counted. */
	readonly countedMs?: readonly [from: Millis, to: Millis]
	readonly seed?: number
	/** Age of the reports of other boxes. */
	readonly reportAgeMs?: Millis
	readonly areConnected?: (at: Millis) => boolean
	/** True while the target frees no place. */
	readonly isHung?: (target: number, at: Millis) => boolean
}

export interface StreamResult {
	/** Requests that arrived, without retries. */
	requests: number
	/** Answers within the goal of the stream. */
	useful: number
	/** Answers after the goal of the stream. */
	late: number
}

interface Call {
	readonly stream: ModelStream
	readonly result: StreamResult
	readonly arrivedAt: Millis
	readonly box: number
	readonly id: string
	readonly workMs: Millis
	retriesLeft: number
}

interface Running {
	readonly call: Call
	readonly leave: () => void
	remainingMs: Millis
}

interface LoadReport {
	readonly requests: number
	readonly at: Millis
}

interface ModelTarget {
	/** Load that the target reported with its last response to each box. */
	readonly reportedTo: (LoadReport | undefined)[]
	readonly running: Running[]
	readonly waiting: Running[]
	readonly openByBox: number[]
}

const STEP_MS = 1
const MAX_TARGET_QUEUE = 24
const CALLERS_PER_STREAM = 25
const MAX_LOAD_AGE_MS = 600
const ADVANCE_INTERVAL_MS = 5
const DEMAND_INTERVAL_MS = 400
const SERVICE = brandId<ServiceName>('service')

/** Runs boxes with `ServiceAdmission` and targets with places in virtual time. Returns the results by stream. */
export function runAdmissionModel(options: ModelOptions): ReadonlyMap<string, StreamResult> {
	return new AdmissionModel(options).run()
}

class AdmissionModel {
	/** One source for each stream, so that its arrivals depend neither on the policy nor on the other streams. */
	private readonly arrivalRandoms: readonly (() => number)[]
	private readonly random: () => number
	private readonly results = new Map<string, StreamResult>()
	private readonly admissions: ServiceAdmission[]
	private readonly targets: ModelTarget[]
	private readonly estimators: WorkEstimator[]
	private readonly waiting = new Map<string, Call>()
	/** Open requests by target and box, as reported in the past; newest last. */
	private readonly reports: { readonly at: Millis; readonly open: number[][] }[] = []
	private now: Millis = 0
	private calls = 0

	constructor(private readonly options: ModelOptions) {
		const { boxes, policy, seed = 1, targets } = options
		this.arrivalRandoms = options.streams.map((_, index) => mulberry32(seed * 1_000 + index))
		this.random = mulberry32(seed)
		this.admissions = Array.from(
			{ length: boxes },
			() =>
				new ServiceAdmission({
					random: this.random,
					boxCount: () => boxes,
					policy: policy === 'rank-only' ? policy : 'rank-and-fair-share',
				}),
		)
		this.estimators = this.admissions.map(() => new WorkEstimator())
		this.targets = Array.from({ length: targets }, () => ({
			reportedTo: [],
			running: [],
			waiting: [],
			openByBox: Array.from({ length: boxes }, () => 0),
		}))
		for (const { name } of options.streams)
			this.results.set(name, { requests: 0, useful: 0, late: 0 })
	}

	run(): ReadonlyMap<string, StreamResult> {
		const { durationMs = 20_000, policy } = this.options
		for (; this.now < durationMs; this.now += STEP_MS) {
			this.targets.forEach((target, index) => this.advanceTarget(target, index))
			if (policy !== 'today') this.advanceBoxes()
			this.options.streams.forEach((stream, index) => {
				const random = this.arrivalRandoms[index]
				if (random) this.addArrivals(stream, random)
			})
		}
		return this.results
	}

	private addArrivals(stream: ModelStream, random: () => number): void {
		const [from, to] = this.options.countedMs ?? [0, Infinity]
		const counted = this.now >= from && this.now < to ? this.results.get(stream.name) : undefined
		const result = counted ?? { requests: 0, useful: 0, late: 0 }
		const mean = (stream.perSecond(this.now) * STEP_MS) / 1_000
		for (let i = Math.floor(mean + random()); i > 0; i--) {
			result.requests++
			const caller = Math.floor(random() * CALLERS_PER_STREAM)
			const box = stream.box ?? boxOfCaller(stream.name, caller, this.options.boxes)
			const id = `r${this.calls++}`
			const workMs = stream.workMs * (0.5 + random())
			this.enter({
				stream,
				result,
				arrivedAt: this.now,
				box,
				id,
				workMs,
				retriesLeft: stream.retries ?? 0,
			})
		}
	}

	private enter(call: Call): void {
		const admission = this.admissions[call.box]
		if (!admission) return
		if (this.options.policy === 'today') {
			this.send(call, () => undefined)
			return
		}
		const { outcome, displaced, ticket } = admission.enter(this.requestOf(call), this.now)
		if (outcome?.kind === 'admitted') this.send(call, () => this.leave(call, ticket))
		else if (outcome) this.retry(call)
		else this.waiting.set(`${call.box}:${ticket}`, call)
		if (displaced) this.retryWaiting(call.box, displaced.ticket)
	}

	private leave({ box }: Call, ticket: number): void {
		const heldMs = this.admissions[box]?.leave(ticket, this.now)
		if (heldMs !== undefined) this.estimators[box]?.note(undefined, heldMs)
	}

	private requestOf({ stream, arrivedAt, box, id }: Call): AdmissionRequest {
		const workMs = this.estimators[box]?.estimate(undefined).workMs ?? 0
		return {
			id,
			service: SERVICE,
			account: brandId<AccountName>(stream.account),
			rank: stream.rank,
			expectedWorkMs: workMs,
			latestStartAt: arrivedAt + stream.goalMs - workMs,
			isEarlyReturn: false,
		}
	}

	private retryWaiting(box: number, ticket: number): void {
		const key = `${box}:${ticket}`
		const call = this.waiting.get(key)
		this.waiting.delete(key)
		if (call) this.retry(call)
	}

	/** The caller retries at once, at another box. */
	private retry(call: Call): void {
		if (call.retriesLeft === 0) return
		const box = Math.floor(this.random() * this.options.boxes)
		this.enter({ ...call, box, retriesLeft: call.retriesLeft - 1 })
	}

	private advanceBoxes(): void {
		this.noteReports()
		this.admissions.forEach((admission, box) => {
			if ((this.now + box) % ADVANCE_INTERVAL_MS !== 0) return
			this.noteUse(admission, box)
			for (const { ticket, outcome } of admission.advance(this.now)) {
				if (outcome.kind === 'refused') {
					this.retryWaiting(box, ticket)
					continue
				}
				const call = this.waiting.get(`${box}:${ticket}`)
				this.waiting.delete(`${box}:${ticket}`)
				if (call) this.send(call, () => this.leave(call, ticket))
			}
		})
	}

	private get areConnected(): boolean {
		return this.options.areConnected?.(this.now) ?? true
	}

	private noteReports(): void {
		const { reportAgeMs = 30 } = this.options
		if (this.now % 25 === 0)
			this.reports.push({ at: this.now, open: this.targets.map((target) => [...target.openByBox]) })
		while ((this.reports[1]?.at ?? Infinity) <= this.now - reportAgeMs) this.reports.shift()
		if (this.now % DEMAND_INTERVAL_MS !== 0 || !this.areConnected) return
		this.admissions.forEach((sender, from) => {
			if (this.now - sender.lastContentionAt > 2 * DEMAND_INTERVAL_MS) return
			const demand = sender.boxDemand(this.now)
			this.admissions.forEach((receiver, to) => {
				if (from !== to) receiver.share.note(`b${from}`, demand, this.now)
			})
		})
	}

	private noteUse(admission: ServiceAdmission, box: number): void {
		let places = 0
		let own = 0
		let peers = 0
		let reported = 0
		let reportedAgeSum = 0
		const report = this.reports[0]
		this.targets.forEach((target, index) => {
			// A target that hangs is noticed after a while.
			if (this.options.isHung?.(index, this.now - 400)) return
			places += this.options.slots
			own += target.openByBox[box] ?? 0
			const load = target.reportedTo[box]
			if (load && this.now - load.at < MAX_LOAD_AGE_MS) {
				reported += load.requests
				reportedAgeSum += load.requests * (this.now - load.at)
			}
			if (!this.areConnected) return
			report?.open[index]?.forEach((count, other) => (peers += other === box ? 0 : count))
		})
		const peersAgeMs = this.options.reportAgeMs ?? 30
		const reportedAgeMs = reportedAgeSum / Math.max(1, reported)
		admission.noteUse({ places, reported, own, peers, reportedAgeMs, peersAgeMs, isKnown: true })
	}

	private send(call: Call, leave: () => void): void {
		const open = this.targets.filter((_, index) => !this.options.isHung?.(index, this.now - 400))
		let best: ModelTarget | undefined
		for (const target of open) if (!best || sizeOf(target) < sizeOf(best)) best = target
		if (!best || best.waiting.length >= MAX_TARGET_QUEUE) {
			leave()
			this.retry(call)
			return
		}
		best.openByBox[call.box] = (best.openByBox[call.box] ?? 0) + 1
		best.waiting.push({ call, leave, remainingMs: call.workMs })
	}

	private advanceTarget(target: ModelTarget, index: number): void {
		if (this.options.isHung?.(index, this.now)) return
		for (const running of target.running) running.remainingMs -= STEP_MS
		for (let i = target.running.length - 1; i >= 0; i--) {
			const running = target.running[i]
			if (!running || running.remainingMs > 0) continue
			target.running.splice(i, 1)
			const { call } = running
			target.openByBox[call.box] = (target.openByBox[call.box] ?? 0) - 1
			target.reportedTo[call.box] = { requests: sizeOf(target), at: this.now }
			running.leave()
			if (this.now - call.arrivedAt <= call.stream.goalMs) call.result.useful++
			else call.result.late++
		}
		while (target.running.length < this.options.slots) {
			const next = target.waiting.shift()
			if (!next) return
			target.running.push(next)
		}
	}
}

/** The load balancer sends a caller to the same box each time. */
function boxOfCaller(stream: string, caller: number, boxes: number): number {
	return fnv1a(`${stream} ${caller}`) % boxes
}

function sizeOf({ running, waiting }: ModelTarget): number {
	return running.length + waiting.length
}

function mulberry32(seed: number): () => number {
	let state = seed
	return () => {
		state = (state + 0x6d2b79f5) | 0
		let value = Math.imul(state ^ (state >>> 15), 1 | state)
		value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value
		return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32
	}
}
