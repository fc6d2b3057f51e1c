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
import type { World } from './World.js'

/** One box: its core, and what a pause holds back. */
export class SimBox {
	core: RouterCore | undefined
	incarnation = 0
	private paused = false
	private held: { event: CoreEvent; born: number }[] = []
	private lastVersion = 0

	constructor(
		private readonly world: World,
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
		this.lastVersion = 0
		const self = {
			box: this.name,
			zone: this.zone,
			incarnation: this.incarnationName(),
			address: this.address,
			timing: { ...DEFAULT_TIMING, ...this.world.options.timing },
		}
		this.core = new RouterCore(self, () => this.world.random.next(), {
			protections: this.protections,
			throwOnViolation: true,
			finalCounters: confession,
		})
		this.tickLater(this.incarnation)
	}

	/** Kills the box: nothing of it is left. */
	kill(): void {
		this.core = undefined
		this.paused = false
		this.held = []
		this.world.callers.onBoxDown(this)
	}

	pause(): void {
		this.paused = true
	}

	/** Goes on after a pause: what came meanwhile is read in order, before any timer. */
	resume(): void {
		if (!this.paused) return
		this.paused = false
		const held = this.held
		this.held = []
		for (const { event, born } of held) this.take(event, born)
	}

	/** Gives the core an event that was meant for one incarnation. */
	take(event: CoreEvent, born = this.incarnation): void {
		if (!this.core || born !== this.incarnation) return
		if (this.paused) {
			if (event.kind !== 'tick') this.held.push({ event, born })
			return
		}
		const begun = this.world.onHandled ? performance.now() : 0
		const actions = this.core.handle(event, this.world.queue.now)
		this.world.onHandled?.(this, event, performance.now() - begun)
		this.checkVersion()
		for (const action of actions) this.perform(action, born)
	}

	private perform(action: CoreAction, born: number): void {
		if (action.kind === 'restart') {
			this.world.callers.onBoxDown(this)
			this.boot(action.finalCounters)
		} else if (action.kind === 'exit') this.kill()
		else this.world.perform(this, born, action)
	}

	private tickLater(born: number): void {
		this.world.queue.after(this.world.random.between(45, 55), () => {
			if (born !== this.incarnation || !this.core) return
			this.take({ kind: 'tick' }, born)
			this.tickLater(born)
		})
	}

	/** A bundle version in force never falls. */
	private checkVersion(): void {
		const version = this.core?.blackboard.config.index?.bundle.version ?? 0
		if (version < this.lastVersion) this.world.fail('bundle-reverted', { box: this.id, version })
		this.lastVersion = version
	}
}
