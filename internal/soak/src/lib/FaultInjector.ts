import type { CoreAction, PlatformResult } from '@stallwing/core'
import type { SimBox } from './SimBox.js'
import type { Simulation } from './Simulation.js'

const PLATFORM_TIMEOUT_MS = 1_000
const NO_ANSWER: PlatformResult = { kind: 'no-answer' }

/** Seeded faults of boxes, network and platform. */
export class FaultInjector {
	private hasPlatformOutage = false
	private isLossy = false
	private readonly partitioned = new Set<string>()

	constructor(private readonly simulation: Simulation) {}

	/** Plans faults over a span of virtual time. */
	scheduleFaults(spanMs: number): void {
		const { random, queue } = this.simulation
		const count = random.integerBetween(2, 7)
		for (let i = 0; i < count; i++)
			queue.schedule(random.next() * spanMs, () => this.injectRandomFault())
	}

	/** Ends all faults. */
	clearFaults(): void {
		this.hasPlatformOutage = false
		this.isLossy = false
		this.partitioned.clear()
		for (const box of this.simulation.boxes) {
			box.resume()
			if (!box.core) box.boot()
		}
	}

	/** Cuts a zone or box off until {@link clearFaults}. */
	partition(name: string): void {
		this.partitioned.add(name)
	}

	/** Takes the platform down until {@link clearFaults}. */
	startPlatformOutage(): void {
		this.hasPlatformOutage = true
	}

	isPlatformUnreachable(box: SimBox): boolean {
		return (
			this.hasPlatformOutage || this.partitioned.has(box.zone) || this.partitioned.has(box.name)
		)
	}

	/** Delays of the copies of a message that arrive. */
	deliveryDelays(from: SimBox, to: SimBox): number[] {
		const { random } = this.simulation
		if (from !== to && this.isPartitioned(from, to)) return []
		const delay = random.integerBetween(1, 3)
		if (!this.isLossy) return [delay]
		if (random.chance(0.05)) return []
		const late = random.chance(0.05) ? random.integerBetween(10, 2500) : delay
		return random.chance(0.05) ? [late, random.integerBetween(1, 2500)] : [late]
	}

	/** A platform call through outage, delay and the loss of answers. */
	callPlatform(box: SimBox, born: number, action: Extract<CoreAction, { kind: 'platform' }>): void {
		const { queue, random, store } = this.simulation
		const { op, opId } = action
		const reply = (result: PlatformResult): void => {
			queue.schedule(random.integerBetween(1, 3), () =>
				box.handle({ kind: 'platform', opId, result }, born),
			)
		}
		const noAnswer = (): void => {
			queue.schedule(PLATFORM_TIMEOUT_MS, () =>
				box.handle({ kind: 'platform', opId, result: NO_ANSWER }, born),
			)
		}
		queue.schedule(random.integerBetween(1, 3), () => {
			if (this.isPlatformUnreachable(box)) {
				noAnswer()
				return
			}
			const lost = this.isLossy && op.kind !== 'watch' && random.chance(0.1)
			store.call(op, queue.now, (result) => (lost ? noAnswer() : reply(result)))
		})
	}

	private isPartitioned(from: SimBox, to: SimBox): boolean {
		if (this.partitioned.has(from.name) || this.partitioned.has(to.name)) return true
		if (from.zone === to.zone) return false
		return this.partitioned.has(from.zone) || this.partitioned.has(to.zone)
	}

	private injectRandomFault(): void {
		const { simulation: world } = this
		const { random, queue } = world
		const span = random.chance(0.3)
			? random.integerBetween(5_000, 25_000)
			: random.integerBetween(100, 4_000)
		const box = random.pick(world.boxes)
		switch (random.integerBetween(0, 8)) {
			case 0:
			case 1:
				box.kill()
				queue.schedule(random.integerBetween(100, 8_000), () => {
					if (!box.core) box.boot()
				})
				return
			case 2:
			case 3:
				box.pause()
				queue.schedule(span, () => box.resume())
				return
			case 4:
				this.hasPlatformOutage = true
				queue.schedule(span, () => (this.hasPlatformOutage = false))
				return
			case 5:
				this.partitionFor(box.zone, span)
				return
			case 6:
				this.partitionFor(box.name, span)
				return
			case 7:
				this.isLossy = true
				queue.schedule(span, () => (this.isLossy = false))
				return
			default:
				world.acceptBundleVersion(world.bundle.version + 1)
				if (random.chance(0.5)) box.handle({ kind: 'stop' })
		}
	}

	private partitionFor(name: string, span: number): void {
		this.partitioned.add(name)
		this.simulation.queue.schedule(span, () => this.partitioned.delete(name))
	}
}
