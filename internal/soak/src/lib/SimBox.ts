import {
	DEFAULT_TIMING,
	RouterCore,
	brandId,
	type BoxName,
	type CoreAction,
	type CoreEvent,
	type FinalCountersMessage,
	type Incarnation,
	type Protections,
	type ZoneName,
} from '@stallwing/core'
import type { Simulation } from './Simulation.js'

/** Simulated box: a router core and the events queued while the box is paused. */
export class SimBox {
	core: RouterCore | undefined
	incarnation = 0
	private paused = false
	private heldEvents: { event: CoreEvent; incarnation: number }[] = []
	private lastBundleVersion = 0

	constructor(
		private readonly simulation: Simulation,
		readonly name: BoxName,
		readonly zone: ZoneName,
		private readonly protections: Protections,
	) {}

	get address(): string {
		return `sim://${this.name}`
	}

	get id(): string {
		return `${this.name}#${this.incarnation}`
	}

	/** Name of the current incarnation. Names sort in start order. */
	incarnationName(): Incarnation {
		return brandId<Incarnation>(String(this.incarnation).padStart(6, '0'))
	}

	isUp(): boolean {
		return this.core !== undefined && !this.paused
	}

	/** Starts a new incarnation of the box. */
	boot(finalCounters?: FinalCountersMessage): void {
		this.incarnation++
		this.lastBundleVersion = 0
		const self = {
			box: this.name,
			zone: this.zone,
			incarnation: this.incarnationName(),
			address: this.address,
			timing: { ...DEFAULT_TIMING, ...this.simulation.options.timing },
		}
		this.core = new RouterCore(self, () => this.simulation.random.next(), {
			protections: this.protections,
			throwOnViolation: true,
			finalCounters,
		})
		this.scheduleTick(this.incarnation)
	}

	/** Kills the box and discards its state. */
	kill(): void {
		this.core = undefined
		this.paused = false
		this.heldEvents = []
		this.simulation.callers.onBoxDown(this)
	}

	/** Pauses the box: it queues events until {@link resume}. */
	pause(): void {
		this.paused = true
	}

	/** Ends a pause. The core handles the queued events in order, before any timer. */
	resume(): void {
		if (!this.paused) return
		this.paused = false
		const held = this.heldEvents
		this.heldEvents = []
		for (const { event, incarnation } of held) this.handle(event, incarnation)
	}

	/** Passes an event to the core if the incarnation that it was sent to still runs. */
	handle(event: CoreEvent, incarnation = this.incarnation): void {
		if (!this.core || incarnation !== this.incarnation) return
		if (this.paused) {
			if (event.kind !== 'tick') this.heldEvents.push({ event, incarnation })
			return
		}
		const startedAt = this.simulation.onHandled ? performance.now() : 0
		const actions = this.core.handle(event, this.simulation.queue.now)
		this.simulation.onHandled?.(this, event, performance.now() - startedAt)
		this.checkBundleVersion()
		for (const action of actions) this.perform(action, incarnation)
	}

	private perform(action: CoreAction, incarnation: number): void {
		if (action.kind === 'restart') {
			this.simulation.callers.onBoxDown(this)
			this.boot(action.finalCounters)
		} else if (action.kind === 'exit') this.kill()
		else this.simulation.perform(this, incarnation, action)
	}

	private scheduleTick(incarnation: number): void {
		this.simulation.queue.schedule(this.simulation.random.integerBetween(45, 55), () => {
			if (incarnation !== this.incarnation || !this.core) return
			this.handle({ kind: 'tick' }, incarnation)
			this.scheduleTick(incarnation)
		})
	}

	/** Checks that the active bundle version never decreases. */
	private checkBundleVersion(): void {
		const version = this.core?.blackboard.config.index?.bundle.version ?? 0
		if (version < this.lastBundleVersion)
			this.simulation.fail('bundle-reverted', { box: this.id, version })
		this.lastBundleVersion = version
	}
}
