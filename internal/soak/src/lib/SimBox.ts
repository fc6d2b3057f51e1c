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

/** One box: its core, and what a pause holds back. */
export class SimBox {
	core: RouterCore | undefined
	incarnation = 0
	private paused = false
	private heldEvents: { event: CoreEvent; born: number }[] = []
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

	/** Name of the present incarnation; names sort by age. */
	incarnationName(): Incarnation {
		return brandId<Incarnation>(String(this.incarnation).padStart(6, '0'))
	}

	isUp(): boolean {
		return this.core !== undefined && !this.paused
	}

	/** Starts the box anew. */
	boot(confession?: FinalCountersMessage): void {
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
			finalCounters: confession,
		})
		this.scheduleTick(this.incarnation)
	}

	/** Kills the box: nothing of it is left. */
	kill(): void {
		this.core = undefined
		this.paused = false
		this.heldEvents = []
		this.simulation.callers.onBoxDown(this)
	}

	pause(): void {
		this.paused = true
	}

	/** Goes on after a pause: what came meanwhile is read in order, before any timer. */
	resume(): void {
		if (!this.paused) return
		this.paused = false
		const held = this.heldEvents
		this.heldEvents = []
		for (const { event, born } of held) this.handle(event, born)
	}

	/** Gives the core an event that was meant for one incarnation. */
	handle(event: CoreEvent, born = this.incarnation): void {
		if (!this.core || born !== this.incarnation) return
		if (this.paused) {
			if (event.kind !== 'tick') this.heldEvents.push({ event, born })
			return
		}
		const begun = this.simulation.onHandled ? performance.now() : 0
		const actions = this.core.handle(event, this.simulation.queue.now)
		this.simulation.onHandled?.(this, event, performance.now() - begun)
		this.checkBundleVersion()
		for (const action of actions) this.perform(action, born)
	}

	private perform(action: CoreAction, born: number): void {
		if (action.kind === 'restart') {
			this.simulation.callers.onBoxDown(this)
			this.boot(action.finalCounters)
		} else if (action.kind === 'exit') this.kill()
		else this.simulation.perform(this, born, action)
	}

	private scheduleTick(born: number): void {
		this.simulation.queue.schedule(this.simulation.random.integerBetween(45, 55), () => {
			if (born !== this.incarnation || !this.core) return
			this.handle({ kind: 'tick' }, born)
			this.scheduleTick(born)
		})
	}

	/** A bundle version in force never falls. */
	private checkBundleVersion(): void {
		const version = this.core?.blackboard.config.index?.bundle.version ?? 0
		if (version < this.lastBundleVersion)
			this.simulation.fail('bundle-reverted', { box: this.id, version })
		this.lastBundleVersion = version
	}
}
