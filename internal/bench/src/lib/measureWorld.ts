import { World, type WorldOptions } from '@stallwing/soak'
import { encodeMessage } from '@stallwing/wire'

/** What one box spends on control in a calm world, per second of virtual time. */
export interface WorldFigures {
	/** Messages and bytes that the busiest and the average box send, per second. */
	readonly messages: number
	readonly bytes: number
	readonly keeperBytes: number
	/** Bytes per second and box, by kind of message. */
	readonly bytesByKind: Readonly<Record<string, number>>
	/** Share of a core that decisions take, average box and keeper. */
	readonly core: number
	readonly keeperCore: number
	/** Platform calls per second, over all boxes. */
	readonly reads: number
	readonly writes: number
	readonly watches: number
	/** Share of requests that were answered whole. */
	readonly answered: number
}

/** Time before the measurement, in which budgets are drawn on for the first time. */
const WARM_MS = 60_000
const SPAN_MS = 20_000
const SECOND_MS = 1_000

/** Runs a calm world with a request rate and measures its control. */
export function measureWorld(
	options: Partial<WorldOptions>,
	requestsPerSecond: number,
): WorldFigures {
	const world = new World({ faults: false, prepaid: 100_000_000, ...options })
	world.start()
	const warm = Math.round((requestsPerSecond * WARM_MS) / SECOND_MS)
	for (let i = 0; i < warm; i++)
		world.queue.after(world.random.next() * WARM_MS, () => world.callers.sendNew())
	world.runFor(WARM_MS)
	const before = { ...world.store.counts }
	const meter = new Meter(world)
	const measured = Math.round((requestsPerSecond * SPAN_MS) / SECOND_MS)
	for (let i = 0; i < measured; i++)
		world.queue.after(world.random.next() * SPAN_MS, () => world.callers.sendNew())
	world.runFor(SPAN_MS)
	const count = warm + measured
	const figures = meter.figures(before)
	world.runFor(5_000)
	return { ...figures, answered: count === 0 ? 1 : world.callers.answered.size / count }
}

class Meter {
	private messages = 0
	private bytes = 0
	private readonly byKind = new Map<string, number>()
	private readonly keeperSent = new Map<string, number>()
	private core = 0
	private keeperCore = 0

	constructor(private readonly world: World) {
		world.onSend = (from, message) => {
			const length = encodeMessage(message).length
			this.messages++
			this.bytes += length
			this.byKind.set(message.kind, (this.byKind.get(message.kind) ?? 0) + length)
			if (from.core?.blackboard.roles.isLeader)
				this.keeperSent.set(from.name, (this.keeperSent.get(from.name) ?? 0) + length)
		}
		world.onHandled = (box, _, ms) => {
			if (box.core?.blackboard.roles.isLeader) this.keeperCore += ms
			else this.core += ms
		}
	}

	figures(before: World['store']['counts']): Omit<WorldFigures, 'answered'> {
		const boxes = this.world.boxes.length
		const keepers = this.world.zones.length
		const seconds = SPAN_MS / SECOND_MS
		const after = this.world.store.counts
		const keeperBytes = [...this.keeperSent.values()].reduce((a, b) => a + b, 0)
		return {
			messages: this.messages / boxes / seconds,
			bytes: this.bytes / boxes / seconds,
			keeperBytes: keeperBytes / keepers / seconds,
			bytesByKind: Object.fromEntries(
				[...this.byKind].map(([kind, sum]) => [kind, Math.round(sum / boxes / seconds)]),
			),
			core: this.core / Math.max(1, boxes - keepers) / SPAN_MS,
			keeperCore: this.keeperCore / keepers / SPAN_MS,
			reads: (after.reads - before.reads) / seconds,
			writes: (after.writes - before.writes) / seconds,
			watches: (after.watches - before.watches) / seconds,
		}
	}
}
