import {
	ALL_PROTECTIONS,
	DEFAULT_POLICY,
	brandId,
	type BoxName,
	type Bundle,
	type CoreAction,
	type CoreEvent,
	type PeerMessage,
	type Protections,
	type RequestId,
	type TargetName,
	type Timing,
	type ZoneName,
} from '@stallwing/core'
import { KvStore } from '@stallwing/standins'
import { Callers, SERVICE_CHARGE } from './Callers.js'
import { checkInvariants } from './checkInvariants.js'
import { EventQueue } from './EventQueue.js'
import { FakeTarget } from './FakeTarget.js'
import { FaultInjector } from './FaultInjector.js'
import { Random } from './Random.js'
import { SimBox } from './SimBox.js'

/** Options of a simulation. */
export interface SimulationOptions {
	readonly seed: number
	readonly zones: number
	readonly boxesPerZone: number
	/** Number of requests sent while faults are injected. */
	readonly requests: number
	/** Virtual time over which requests are sent, in ms. */
	readonly durationMs: number
	readonly protections: Protections
	readonly injectFaults: boolean
	/** Prepaid amount of each budget. */
	readonly prepaid: number
	readonly policy: Partial<Bundle['policy']>
	/** Timing values that override the defaults. */
	readonly timing: Partial<Timing>
	/** Number of client accounts, each with its own budget. */
	readonly accounts: number
}

/** Two zones of three boxes, with faults for one minute. */
export const DEFAULT_SIMULATION_OPTIONS: SimulationOptions = {
	seed: 1,
	zones: 2,
	boxesPerZone: 3,
	requests: 300,
	durationMs: 60_000,
	protections: ALL_PROTECTIONS,
	injectFaults: true,
	prepaid: 20_000,
	policy: {},
	timing: {},
	accounts: 2,
}

/** Thrown when an invariant does not hold in a simulation. */
export class InvariantViolation extends Error {
	readonly kind = 'promise-broken'
	constructor(
		readonly invariant: string,
		readonly details: Readonly<Record<string, unknown>>,
		seed: number,
	) {
		super(`seed ${seed}: ${invariant} ${JSON.stringify(details)}`)
	}
}

const START_TIME_MS = 1_700_000_000_000
const SETTLE_DURATION_MS = 60_000
const MODEL_PRICE = { inputWeight: 1, outputWeight: 2 }

/**
 * Deterministic simulation of many router cores in virtual time, with a fake platform, fake targets,
 * simulated callers and seeded faults.
 */
export class Simulation {
	readonly queue = new EventQueue()
	readonly random: Random
	readonly store = new KvStore()
	readonly zones: ZoneName[]
	readonly boxes: SimBox[] = []
	readonly accounts: string[]
	readonly targets = new Map<TargetName, FakeTarget>()
	readonly callers: Callers
	readonly faults: FaultInjector
	readonly options: SimulationOptions
	/** Billed amounts by request id, as the cores logged them. */
	readonly billsByRequest = new Map<string, number[]>()
	/** Called with each message between boxes, for measurements. */
	onSend: (from: SimBox, message: PeerMessage) => void = () => undefined
	/** Called with the time in ms that a core took to handle an event, for measurements. */
	onHandled: ((box: SimBox, event: CoreEvent, ms: number) => void) | undefined
	/** Log lines, recorded only if this is set to an array. */
	trace: string[] | undefined
	bundle: Bundle

	constructor(options: Partial<SimulationOptions>) {
		this.options = { ...DEFAULT_SIMULATION_OPTIONS, ...options }
		this.random = new Random(this.options.seed)
		this.queue.now = START_TIME_MS
		this.accounts = Array.from({ length: this.options.accounts }, (_, i) => `account-${i}`)
		this.zones = Array.from({ length: this.options.zones }, (_, i) => brandId<ZoneName>(`z${i}`))
		this.bundle = this.makeBundle(1)
		for (const target of this.bundle.targets)
			this.targets.set(
				target.name,
				new FakeTarget(
					target.kind === 'engine',
					this.queue,
					this.random,
					this.options.injectFaults,
				),
			)
		for (const zone of this.zones)
			for (let i = 0; i < this.options.boxesPerZone; i++)
				this.boxes.push(
					new SimBox(this, brandId<BoxName>(`${zone}b${i}`), zone, this.options.protections),
				)
		this.callers = new Callers(this)
		this.faults = new FaultInjector(this)
	}

	/** Starts all boxes and gives them time to discover each other. */
	start(): void {
		this.acceptBundleVersion(1)
		for (const box of this.boxes) box.boot()
		this.scheduleExpiry()
		this.runFor(8_000)
	}

	/** Runs the simulation to its end. Throws {@link InvariantViolation} if an invariant does not hold. */
	run(): void {
		this.start()
		const { requests, durationMs, injectFaults } = this.options
		for (let i = 0; i < requests; i++)
			this.queue.schedule(this.random.next() * durationMs, () => this.callers.sendNewRequest())
		if (injectFaults) this.faults.scheduleFaults(durationMs)
		this.runFor(durationMs)
		this.faults.clearFaults()
		this.runFor(SETTLE_DURATION_MS)
		checkInvariants(this)
	}

	/** Runs the events of a period of virtual time. */
	runFor(durationMs: number): void {
		const until = this.queue.now + durationMs
		while (this.queue.runNext(until));
		this.queue.now = until
	}

	/** Ends the simulation by throwing {@link InvariantViolation}. */
	fail(invariant: string, details: Readonly<Record<string, unknown>>): never {
		throw new InvariantViolation(invariant, details, this.options.seed)
	}

	/** Number of runs of a request over all targets. */
	runCountOf(id: RequestId): number {
		let sum = 0
		for (const target of this.targets.values()) sum += target.runCounts.get(id) ?? 0
		return sum
	}

	/** Activates a new bundle version with a single write of the head key. */
	acceptBundleVersion(version: number): void {
		this.bundle = this.makeBundle(version)
		const key = 'bundles/head'
		this.store.call({ kind: 'get', key }, this.queue.now, (head) => {
			const expected = head.kind === 'value' ? head.revision : 0
			const op = { kind: 'cas', key, expected, value: { version } } as const
			this.store.call(op, this.queue.now, () => undefined)
		})
	}

	/** Performs an action requested by a core. */
	perform(box: SimBox, incarnation: number, action: CoreAction): void {
		switch (action.kind) {
			case 'platform':
				this.faults.callPlatform(box, incarnation, action)
				return
			case 'send':
				this.sendToPeer(box, action)
				return
			case 'relay': {
				const to = this.boxes.find((other) => other.name === action.box)
				if (to) this.callers.relay(box, action.callId, to, action.id, action.account)
				return
			}
			case 'refuse':
				this.callers.onRefused(box, action.callId, action.refusal)
				return
			case 'attach':
				this.callers.onAttached(action.callId, action.id)
				// A late caller gets the answer of a finished run at once.
				if (box.core?.blackboard.requests.runs.get(action.id)?.stage === 'done')
					this.callers.onAnswerComplete(box, action.id)
				return
			case 'fail-run':
				this.callers.onRunFailed(box, action.runId, action.refusal)
				return
			case 'release-answer':
				this.callers.onAnswerComplete(box, action.runId)
				return
			case 'start-attempt':
				this.startAttempt(box, incarnation, action)
				return
			case 'cancel-attempt':
				this.cancelAttempt(box, incarnation, action)
				return
			case 'fetch-bundle':
				this.fetchBundle(box, incarnation)
				return
			case 'log':
				this.recordLogEvent(box, action.event)
				return
			default:
		}
	}

	/** Delivers a message between boxes, subject to network faults. */
	deliver(from: SimBox, to: SimBox, run: () => void): void {
		for (const delay of this.faults.deliveryDelays(from, to)) this.queue.schedule(delay, run)
	}

	/** Delivers an answer over an open connection, unless the sending box has stopped. */
	deliverReply(from: SimBox, run: () => void): void {
		this.queue.schedule(this.random.integerBetween(1, 3), () => {
			if (from.core) run()
		})
	}

	private sendToPeer(box: SimBox, action: Extract<CoreAction, { kind: 'send' }>): void {
		const to = this.boxes.find((other) => other.name === action.to)
		if (!to) return
		const message = structuredClone(action.message)
		this.onSend(box, message)
		this.deliver(box, to, () => to.handle({ kind: 'peer', from: box.name, message }))
	}

	private startAttempt(
		box: SimBox,
		incarnation: number,
		action: Extract<CoreAction, { kind: 'start-attempt' }>,
	): void {
		const { runId, attempt } = action
		const target = this.targets.get(action.target)
		target?.start(runId, action.resume, (outcome) => {
			const endedEvent = { kind: 'attempt-ended', runId, attempt, outcome } as const
			this.queue.schedule(1, () => box.handle(endedEvent, incarnation))
			// A late duplicate of the outcome must have no effect.
			if (this.options.injectFaults && this.random.chance(0.05))
				this.queue.schedule(this.random.integerBetween(1, 3000), () =>
					box.handle(endedEvent, incarnation),
				)
		})
	}

	private cancelAttempt(
		box: SimBox,
		incarnation: number,
		action: Extract<CoreAction, { kind: 'cancel-attempt' }>,
	): void {
		const { runId, attempt } = action
		const name = box.core?.blackboard.requests.runs.get(runId)?.target
		const target = name === undefined ? undefined : this.targets.get(name)
		target?.cancel(runId, (outcome) => {
			const endedEvent = { kind: 'attempt-ended', runId, attempt, outcome } as const
			this.queue.schedule(2, () => box.handle(endedEvent, incarnation))
		})
	}

	private fetchBundle(box: SimBox, incarnation: number): void {
		if (this.faults.isPlatformUnreachable(box)) return
		const bundle = this.bundle
		this.queue.schedule(5, () => box.handle({ kind: 'bundle', bundle }, incarnation))
	}

	private recordLogEvent(box: SimBox, event: Extract<CoreAction, { kind: 'log' }>['event']): void {
		this.trace?.push(
			`${this.queue.now - START_TIME_MS} ${box.id} ${event.name} ${JSON.stringify(event.fields)}`,
		)
		if (event.name === 'slice-in-doubt') this.checkInDoubtAmount(event.fields)
		if (event.name !== 'request-billed') return
		const id = String(event.fields.request)
		this.billsByRequest.set(id, [
			...(this.billsByRequest.get(id) ?? []),
			Number(event.fields.amount),
		])
	}

	/** Checks that the amount in doubt covers all requests that the box is still running. */
	private checkInDoubtAmount(fields: Readonly<Record<string, unknown>>): void {
		const box = this.boxes.find(
			(other) => `${other.name}#${other.incarnationName()}` === fields.entry,
		)
		if (!box?.core) return
		let started = 0
		for (const run of box.core.blackboard.requests.runs.values())
			if (run.stage === 'running' && run.budget === fields.budget) started += run.maxCharge
		if (started > Number(fields.inDoubt))
			this.fail('started-beyond-watermark', { started, ...fields })
	}

	private scheduleExpiry(): void {
		this.queue.schedule(100, () => {
			this.store.expire(this.queue.now)
			this.scheduleExpiry()
		})
	}

	private makeBundle(version: number): Bundle {
		return {
			version,
			zones: this.zones.map((name) => ({ name })),
			models: [{ name: 'm', ...MODEL_PRICE, maxOutputTokens: 1_000 }],
			services: [{ name: 's', callCost: SERVICE_CHARGE }],
			targets: this.zones.flatMap((zone) => [
				...['e0', 'e1'].map((name) => ({
					name: brandId<TargetName>(`${zone}${name}`),
					zone,
					kind: 'engine' as const,
					url: '',
					serves: ['m'],
					concurrency: 64,
					leaving: false,
				})),
				{
					name: brandId<TargetName>(`${zone}s0`),
					zone,
					kind: 'service' as const,
					url: '',
					serves: ['s'],
					concurrency: 64,
					leaving: false,
				},
			]),
			accounts: this.accounts.map((name) => ({
				name: brandId(name),
				keyHashes: [`key-${name}`],
				budgets: [brandId(`budget-${name}`)],
				defaultBudget: brandId(`budget-${name}`),
				homeZones: [],
			})),
			budgets: this.accounts.map((name) => ({
				name: brandId(`budget-${name}`),
				prepaid: this.options.prepaid,
			})),
			policy: { ...DEFAULT_POLICY, ...this.options.policy },
		}
	}
}
