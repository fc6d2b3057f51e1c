import type { CoreAction, PlatformResult } from '@stallwing/core'
import type { SimBox } from './SimBox.js'
import type { World } from './World.js'

const PLATFORM_TIMEOUT_MS = 1_000
const NO_ANSWER: PlatformResult = { kind: 'no-answer' }

/** Seeded faults of boxes, network and platform. */
export class Faults {
	private outage = false
	private lossy = false
	private readonly cuts = new Set<string>()

	constructor(private readonly world: World) {}

	/** Plans faults over a span of virtual time. */
	plan(spanMs: number): void {
		const { random, queue } = this.world
		const count = random.between(2, 7)
		for (let i = 0; i < count; i++) queue.after(random.next() * spanMs, () => this.show())
	}

	/** Ends all faults. */
	heal(): void {
		this.outage = false
		this.lossy = false
		this.cuts.clear()
		for (const box of this.world.boxes) {
			box.resume()
			if (!box.core) box.boot()
		}
	}

	/** Cuts a zone or box off until {@link heal}. */
	cut(name: string): void {
		this.cuts.add(name)
	}

	/** Takes the platform down until {@link heal}. */
	platformDown(): void {
		this.outage = true
	}

	isCutFromPlatform(box: SimBox): boolean {
		return this.outage || this.cuts.has(box.zone) || this.cuts.has(box.name)
	}

	/** Delays of the copies of a message that arrive. */
	deliveries(from: SimBox, to: SimBox): number[] {
		const { random } = this.world
		if (from !== to && this.isCut(from, to)) return []
		const delay = random.between(1, 3)
		if (!this.lossy) return [delay]
		if (random.chance(0.05)) return []
		const late = random.chance(0.05) ? random.between(10, 2500) : delay
		return random.chance(0.05) ? [late, random.between(1, 2500)] : [late]
	}

	/** A platform call through outage, delay and the loss of answers. */
	platformCall(box: SimBox, born: number, action: Extract<CoreAction, { kind: 'platform' }>): void {
		const { queue, random, store } = this.world
		const { op, opId } = action
		const reply = (result: PlatformResult): void => {
			queue.after(random.between(1, 3), () => box.take({ kind: 'platform', opId, result }, born))
		}
		const noAnswer = (): void => {
			queue.after(PLATFORM_TIMEOUT_MS, () =>
				box.take({ kind: 'platform', opId, result: NO_ANSWER }, born),
			)
		}
		queue.after(random.between(1, 3), () => {
			if (this.isCutFromPlatform(box)) {
				noAnswer()
				return
			}
			const lost = this.lossy && op.kind !== 'watch' && random.chance(0.1)
			store.call(op, queue.now, (result) => (lost ? noAnswer() : reply(result)))
		})
	}

	private isCut(from: SimBox, to: SimBox): boolean {
		if (this.cuts.has(from.name) || this.cuts.has(to.name)) return true
		if (from.zone === to.zone) return false
		return this.cuts.has(from.zone) || this.cuts.has(to.zone)
	}

	private show(): void {
		const { world } = this
		const { random, queue } = world
		const span = random.chance(0.3) ? random.between(5_000, 25_000) : random.between(100, 4_000)
		const box = random.pick(world.boxes)
		switch (random.between(0, 8)) {
			case 0:
			case 1:
				box.kill()
				queue.after(random.between(100, 8_000), () => {
					if (!box.core) box.boot()
				})
				return
			case 2:
			case 3:
				box.pause()
				queue.after(span, () => box.resume())
				return
			case 4:
				this.outage = true
				queue.after(span, () => (this.outage = false))
				return
			case 5:
				this.cutFor(box.zone, span)
				return
			case 6:
				this.cutFor(box.name, span)
				return
			case 7:
				this.lossy = true
				queue.after(span, () => (this.lossy = false))
				return
			default:
				world.acceptBundle(world.bundle.version + 1)
				if (random.chance(0.5)) box.take({ kind: 'stop' })
		}
	}

	private cutFor(name: string, span: number): void {
		this.cuts.add(name)
		this.world.queue.after(span, () => this.cuts.delete(name))
	}
}
