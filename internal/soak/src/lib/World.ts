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
import { checkEnd } from './checkEnd.js'
import { EventQueue } from './EventQueue.js'
import { FakeTarget } from './FakeTarget.js'
import { Faults } from './Faults.js'
import { Random } from './Random.js'
import { SimBox } from './SimBox.js'

/** Size and length of a run. */
export interface WorldOptions {
	readonly seed: number
	readonly zones: number
	readonly boxesPerZone: number
	/** New requests while faults are shown. */
	readonly requests: number
	/** Virtual time over which requests come, in ms. */
	readonly spanMs: number
	readonly protections: Protections
	readonly faults: boolean
	/** Prepaid amount of each budget. */
	readonly prepaid: number
	readonly policy: Partial<Bundle['policy']>
	/** Periods that differ from the default ones. */
	readonly timing: Partial<Timing>
	/** Client accounts, each with a budget of its own. */
	readonly accounts: number
}

/** A few boxes, a minute of trouble. */
export const DEFAULT_WORLD: WorldOptions = {
	seed: 1,
	zones: 2,
	boxesPerZone: 3,
	requests: 300,
	spanMs: 60_000,
	protections: ALL_PROTECTIONS,
	faults: true,
	prepaid: 20_000,
	policy: {},
	timing: {},
	accounts: 2,
}

/** A promise that did not hold in a run. */
export class PromiseBroken extends Error {
	readonly kind = 'promise-broken'
	constructor(
		readonly promise: string,
		readonly facts: Readonly<Record<string, unknown>>,
		seed: number,
	) {
		super(`seed ${seed}: ${promise} ${JSON.stringify(facts)}`)
	}
}

const START_MS = 1_700_000_000_000
const SETTLE_MS = 60_000
const MODEL_PRICE = { inputWeight: 1, outputWeight: 2 }

/** Many cores with one virtual clock, a fake platform, targets and callers, and seeded faults. */
export class World {
	readonly queue = new EventQueue()
	readonly random: Random
	readonly store = new KvStore()
	readonly zones: ZoneName[]
	readonly boxes: SimBox[] = []
	readonly accounts: string[]
	readonly targets = new Map<TargetName, FakeTarget>()
	readonly callers: Callers
	readonly faults: Faults
	readonly options: WorldOptions
	/** Bills by request id, as the cores logged them. */
	readonly billed = new Map<string, number[]>()
	/** Told of each message between boxes; for measurements. */
	onSend: (from: SimBox, message: PeerMessage) => void = () => undefined
	/** Told of the time that a core took for an event; for measurements. */
	onHandled: ((box: SimBox, event: CoreEvent, ms: number) => void) | undefined
	/** Log lines, kept where asked for. */
	trace: string[] | undefined
	bundle: Bundle

	constructor(options: Partial<WorldOptions>) {
		this.options = { ...DEFAULT_WORLD, ...options }
		this.random = new Random(this.options.seed)
		this.queue.now = START_MS
		this.accounts = Array.from({ length: this.options.accounts }, (_, i) => `account-${i}`)
		this.zones = Array.from({ length: this.options.zones }, (_, i) => brandId<ZoneName>(`z${i}`))
		this.bundle = this.makeBundle(1)
		for (const target of this.bundle.targets)
			this.targets.set(
				target.name,
				new FakeTarget(target.kind === 'engine', this.queue, this.random, this.options.faults),
			)
		for (const zone of this.zones)
			for (let i = 0; i < this.options.boxesPerZone; i++)
				this.boxes.push(
					new SimBox(this, brandId<BoxName>(`${zone}b${i}`), zone, this.options.protections),
				)
		this.callers = new Callers(this)
		this.faults = new Faults(this)
	}

	/** Starts all boxes and lets them find each other. */
	start(): void {
		this.acceptBundle(1)
		for (const box of this.boxes) box.boot()
		this.expireLater()
		this.runFor(8_000)
	}

	/** Runs the whole world; throws where a promise does not hold. */
	run(): void {
		this.start()
		const { requests, spanMs, faults } = this.options
		for (let i = 0; i < requests; i++)
			this.queue.after(this.random.next() * spanMs, () => this.callers.sendNew())
		if (faults) this.faults.plan(spanMs)
		this.runFor(spanMs)
		this.faults.heal()
		this.runFor(SETTLE_MS)
		checkEnd(this)
	}

	/** Runs events for a span of virtual time. */
	runFor(span: number): void {
		const until = this.queue.now + span
		while (this.queue.step(until));
		this.queue.now = until
	}

	/** Breaks the run off: a promise did not hold. */
	fail(promise: string, facts: Readonly<Record<string, unknown>>): never {
		throw new PromiseBroken(promise, facts, this.options.seed)
	}

	/** Runs of a request over all targets. */
	runsOf(id: RequestId): number {
		let sum = 0
		for (const target of this.targets.values()) sum += target.runs.get(id) ?? 0
		return sum
	}

	/** Puts a new version in force, by one write of the head. */
	acceptBundle(version: number): void {
		this.bundle = this.makeBundle(version)
		const key = 'bundles/head'
		this.store.call({ kind: 'get', key }, this.queue.now, (found) => {
			const expected = found.kind === 'value' ? found.revision : 0
			const op = { kind: 'cas', key, expected, value: { version } } as const
			this.store.call(op, this.queue.now, () => undefined)
		})
	}

	/** Carries out what a core asks. */
	perform(box: SimBox, born: number, action: CoreAction): void {
		switch (action.kind) {
			case 'platform':
				this.faults.platformCall(box, born, action)
				return
			case 'send':
				this.sendPeer(box, action)
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
				// A finished run's answer goes to a late caller at once.
				if (box.core?.blackboard.requests.runs.get(action.id)?.stage === 'done')
					this.callers.onAnswer(box, action.id)
				return
			case 'fail-run':
				this.callers.onRunFailed(box, action.runId, action.refusal)
				return
			case 'release-answer':
				this.callers.onAnswer(box, action.runId)
				return
			case 'start-attempt':
				this.startAttempt(box, born, action)
				return
			case 'cancel-attempt':
				this.cancelAttempt(box, born, action)
				return
			case 'fetch-bundle':
				this.fetchBundle(box, born)
				return
			case 'log':
				this.note(box, action.event)
				return
			default:
		}
	}

	/** Delivers something from box to box, through the faults of the network. */
	deliver(from: SimBox, to: SimBox, run: () => void): void {
		for (const delay of this.faults.deliveries(from, to)) this.queue.after(delay, run)
	}

	/** Delivers an answer back over a connection: in order, or not at all. */
	back(from: SimBox, run: () => void): void {
		this.queue.after(this.random.between(1, 3), () => {
			if (from.core) run()
		})
	}

	private sendPeer(box: SimBox, action: Extract<CoreAction, { kind: 'send' }>): void {
		const to = this.boxes.find((other) => other.name === action.to)
		if (!to) return
		const message = structuredClone(action.message)
		this.onSend(box, message)
		this.deliver(box, to, () => to.take({ kind: 'peer', from: box.name, message }))
	}

	private startAttempt(
		box: SimBox,
		born: number,
		action: Extract<CoreAction, { kind: 'start-attempt' }>,
	): void {
		const { runId, attempt } = action
		const target = this.targets.get(action.target)
		target?.start(runId, action.resume, (outcome) => {
			const end = { kind: 'attempt-ended', runId, attempt, outcome } as const
			this.queue.after(1, () => box.take(end, born))
			// A late, doubled word of the same attempt must change nothing.
			if (this.options.faults && this.random.chance(0.05))
				this.queue.after(this.random.between(1, 3000), () => box.take(end, born))
		})
	}

	private cancelAttempt(
		box: SimBox,
		born: number,
		action: Extract<CoreAction, { kind: 'cancel-attempt' }>,
	): void {
		const { runId, attempt } = action
		const name = box.core?.blackboard.requests.runs.get(runId)?.target
		const target = name === undefined ? undefined : this.targets.get(name)
		target?.cancel(runId, (outcome) => {
			const end = { kind: 'attempt-ended', runId, attempt, outcome } as const
			this.queue.after(2, () => box.take(end, born))
		})
	}

	private fetchBundle(box: SimBox, born: number): void {
		if (this.faults.isCutFromPlatform(box)) return
		const bundle = this.bundle
		this.queue.after(5, () => box.take({ kind: 'bundle', bundle }, born))
	}

	private note(box: SimBox, event: Extract<CoreAction, { kind: 'log' }>['event']): void {
		this.trace?.push(
			`${this.queue.now - START_MS} ${box.id} ${event.name} ${JSON.stringify(event.fields)}`,
		)
		if (event.name === 'slice-in-doubt') this.checkSealed(event.fields)
		if (event.name !== 'request-billed') return
		const id = String(event.fields.request)
		this.billed.set(id, [...(this.billed.get(id) ?? []), Number(event.fields.amount)])
	}

	/** What a paused box has started must be covered by what its seal leaves in doubt. */
	private checkSealed(fields: Readonly<Record<string, unknown>>): void {
		const box = this.boxes.find((row) => `${row.name}#${row.incarnationName()}` === fields.entry)
		if (!box?.core) return
		let started = 0
		for (const run of box.core.blackboard.requests.runs.values())
			if (run.stage === 'running' && run.budget === fields.budget) started += run.maxCharge
		if (started > Number(fields.inDoubt))
			this.fail('started-beyond-watermark', { started, ...fields })
	}

	private expireLater(): void {
		this.queue.after(100, () => {
			this.store.expire(this.queue.now)
			this.expireLater()
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
