import { Simulation, type SimulationOptions } from '@stallwing/soak'
import { encodeMessage } from '@stallwing/wire'

/** What one box spends on control in a calm world, per second of virtual time. */
export interface ControlCost {
	/** Messages and bytes that the busiest and the average box send, per second. */
	readonly messagesPerSecond: number
	readonly bytesPerSecond: number
	readonly leaderBytesPerSecond: number
	/** Bytes per second and box, by kind of message. */
	readonly bytesByKind: Readonly<Record<string, number>>
	/** Share of a core that decisions take, average box and keeper. */
	readonly cpuShare: number
	readonly leaderCpuShare: number
	/** Platform calls per second, over all boxes. */
	readonly readsPerSecond: number
	readonly writesPerSecond: number
	readonly watchesPerSecond: number
	/** Share of requests that were answered whole. */
	readonly answeredShare: number
}

/** Time before the measurement, in which budgets are drawn on for the first time. */
const WARM_UP_MS = 60_000
const MEASUREMENT_MS = 20_000
const MS_PER_SECOND = 1_000

/** Runs a calm world with a request rate and measures its control. */
export function measureControlCost(
	options: Partial<SimulationOptions>,
	requestsPerSecond: number,
): ControlCost {
	const world = new Simulation({ injectFaults: false, prepaid: 100_000_000, ...options })
	world.start()
	const warm = Math.round((requestsPerSecond * WARM_UP_MS) / MS_PER_SECOND)
	for (let i = 0; i < warm; i++)
		world.queue.schedule(world.random.next() * WARM_UP_MS, () => world.callers.sendNewRequest())
	world.runFor(WARM_UP_MS)
	const before = { ...world.store.counts }
	const meter = new ControlCostMeter(world)
	const measured = Math.round((requestsPerSecond * MEASUREMENT_MS) / MS_PER_SECOND)
	for (let i = 0; i < measured; i++)
		world.queue.schedule(world.random.next() * MEASUREMENT_MS, () => world.callers.sendNewRequest())
	world.runFor(MEASUREMENT_MS)
	const count = warm + measured
	const figures = meter.costSince(before)
	world.runFor(5_000)
	return { ...figures, answeredShare: count === 0 ? 1 : world.callers.answeredIds.size / count }
}

class ControlCostMeter {
	private messages = 0
	private bytes = 0
	private readonly bytesByKind = new Map<string, number>()
	private readonly bytesByLeader = new Map<string, number>()
	private followerCpuMs = 0
	private leaderCpuMs = 0

	constructor(private readonly simulation: Simulation) {
		simulation.onSend = (from, message) => {
			const length = encodeMessage(message).length
			this.messages++
			this.bytes += length
			this.bytesByKind.set(message.kind, (this.bytesByKind.get(message.kind) ?? 0) + length)
			if (from.core?.blackboard.roles.isLeader)
				this.bytesByLeader.set(from.name, (this.bytesByLeader.get(from.name) ?? 0) + length)
		}
		simulation.onHandled = (box, _, ms) => {
			if (box.core?.blackboard.roles.isLeader) this.leaderCpuMs += ms
			else this.followerCpuMs += ms
		}
	}

	costSince(before: Simulation['store']['counts']): Omit<ControlCost, 'answeredShare'> {
		const boxes = this.simulation.boxes.length
		const keepers = this.simulation.zones.length
		const seconds = MEASUREMENT_MS / MS_PER_SECOND
		const after = this.simulation.store.counts
		const keeperBytes = [...this.bytesByLeader.values()].reduce((a, b) => a + b, 0)
		return {
			messagesPerSecond: this.messages / boxes / seconds,
			bytesPerSecond: this.bytes / boxes / seconds,
			leaderBytesPerSecond: keeperBytes / keepers / seconds,
			bytesByKind: Object.fromEntries(
				[...this.bytesByKind].map(([kind, sum]) => [kind, Math.round(sum / boxes / seconds)]),
			),
			cpuShare: this.followerCpuMs / Math.max(1, boxes - keepers) / MEASUREMENT_MS,
			leaderCpuShare: this.leaderCpuMs / keepers / MEASUREMENT_MS,
			readsPerSecond: (after.reads - before.reads) / seconds,
			writesPerSecond: (after.writes - before.writes) / seconds,
			watchesPerSecond: (after.watches - before.watches) / seconds,
		}
	}
}
