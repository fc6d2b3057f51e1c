import type { CoreAction, PlatformResult } from '@stallwing/core'
import type { SimBox } from './SimBox.js'
import type { Simulation } from './Simulation.js'

const PLATFORM_TIMEOUT_MS = 1_000
const NO_ANSWER: PlatformResult = { kind: 'no-answer' }

/** Injects seeded faults of boxes, the network and the platform. */
export class FaultInjector {
	private hasPlatformOutage = false
	private isLossy = false
	/** Names of the zones and boxes that are partitioned from the network. */
	private readonly isolated = new Set<string>()

	constructor(private readonly simulation: Simulation) {}

	/** Schedules random faults over a period of virtual time. */
	scheduleFaults(durationMs: number): void {
		const { random, queue } = this.simulation
		const count = random.integerBetween(2, 7)
		for (let i = 0; i < count; i++)
			queue.schedule(random.next() * durationMs, () => this.injectRandomFault())
	}

	/** Ends all faults and restarts stopped boxes. */
	clearFaults(): void {
		this.hasPlatformOutage = false
		this.isLossy = false
		this.isolated.clear()
		for (const box of this.simulation.boxes) {
			box.resume()
			if (!box.core) box.boot()
		}
	}

	/** Partitions a zone or box from the network until {@link clearFaults}. */
	partition(name: string): void {
		this.isolated.add(name)
	}

	/** Makes the platform unreachable until {@link clearFaults}. */
	startPlatformOutage(): void {
		this.hasPlatformOutage = true
	}

	isPlatformUnreachable(box: SimBox): boolean {
		return this.hasPlatformOutage || this.isolated.has(box.zone) || this.isolated.has(box.name)
	}

	/** Returns the delay in ms of each copy of a message that arrives. A lost message has none. */
	deliveryDelays(from: SimBox, to: SimBox): number[] {
		const { random } = this.simulation
		if (from !== to && this.isPartitioned(from, to)) return []
		const delay = random.integerBetween(1, 3)
		if (!this.isLossy) return [delay]
		if (random.chance(0.05)) return []
		const firstDelay = random.chance(0.05) ? random.integerBetween(10, 2500) : delay
		return random.chance(0.05) ? [firstDelay, random.integerBetween(1, 2500)] : [firstDelay]
	}

	/** Performs a platform call, subject to outages, delays and lost answers. */
	callPlatform(
		box: SimBox,
		incarnation: number,
		action: Extract<CoreAction, { kind: 'platform' }>,
	): void {
		const { queue, random, store } = this.simulation
		const { op, opId } = action
		const reply = (result: PlatformResult): void => {
			queue.schedule(random.integerBetween(1, 3), () =>
				box.handle({ kind: 'platform', opId, result }, incarnation),
			)
		}
		const noAnswer = (): void => {
			queue.schedule(PLATFORM_TIMEOUT_MS, () =>
				box.handle({ kind: 'platform', opId, result: NO_ANSWER }, incarnation),
			)
		}
		queue.schedule(random.integerBetween(1, 3), () => {
			if (this.isPlatformUnreachable(box)) {
				noAnswer()
				return
			}
			const isAnswerLost = this.isLossy && op.kind !== 'watch' && random.chance(0.1)
			store.call(op, queue.now, (result) => (isAnswerLost ? noAnswer() : reply(result)))
		})
	}

	private isPartitioned(from: SimBox, to: SimBox): boolean {
		if (this.isolated.has(from.name) || this.isolated.has(to.name)) return true
		if (from.zone === to.zone) return false
		return this.isolated.has(from.zone) || this.isolated.has(to.zone)
	}

	private injectRandomFault(): void {
		const { simulation } = this
		const { random, queue } = simulation
		const durationMs = random.chance(0.3)
			? random.integerBetween(5_000, 25_000)
			: random.integerBetween(100, 4_000)
		const box = random.pick(simulation.boxes)
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
				queue.schedule(durationMs, () => box.resume())
				return
			case 4:
				this.hasPlatformOutage = true
				queue.schedule(durationMs, () => (this.hasPlatformOutage = false))
				return
			case 5:
				this.partitionFor(box.zone, durationMs)
				return
			case 6:
				this.partitionFor(box.name, durationMs)
				return
			case 7:
				this.isLossy = true
				queue.schedule(durationMs, () => (this.isLossy = false))
				return
			default:
				simulation.acceptBundleVersion(simulation.bundle.version + 1)
				if (random.chance(0.5)) box.handle({ kind: 'stop' })
		}
	}

	private partitionFor(name: string, durationMs: number): void {
		this.isolated.add(name)
		this.simulation.queue.schedule(durationMs, () => this.isolated.delete(name))
	}
}
