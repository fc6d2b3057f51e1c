import { Simulation, type SimulationOptions } from '@stallwing/soak'
import { encodeMessage } from '@stallwing/wire'

/** Control cost in a simulation without faults. Rates are per second of virtual time. */
export interface ControlCost {
	/** Average messages and bytes sent per box, and average bytes sent per zone leader. */
	readonly messagesPerSecond: number
	readonly bytesPerSecond: number
	readonly leaderBytesPerSecond: number
	/** Bytes sent per second and box, by message kind. */
	readonly bytesByKind: Readonly<Record<string, number>>
	/** Share of a CPU used by core decisions, for the average follower and leader. */
	readonly cpuShare: number
	readonly leaderCpuShare: number
	/** Platform calls per second of all boxes. */
	readonly readsPerSecond: number
	readonly writesPerSecond: number
	readonly watchesPerSecond: number
	/** Share of requests that got a complete answer. */
	readonly answeredShare: number
}

/** Time before the measurement, so that boxes hold slices of their budgets. */
const WARM_UP_MS = 60_000
const MEASUREMENT_MS = 20_000
const MS_PER_SECOND = 1_000

/** Runs a simulation without faults at a request rate and measures its control cost. */
export function measureControlCost(
	options: Partial<SimulationOptions>,
	requestsPerSecond: number,
): ControlCost {
	const simulation = new Simulation({ injectFaults: false, prepaid: 100_000_000, ...options })
	simulation.start()
	const warmUpCount = Math.round((requestsPerSecond * WARM_UP_MS) / MS_PER_SECOND)
	for (let i = 0; i < warmUpCount; i++)
		simulation.queue.schedule(simulation.random.next() * WARM_UP_MS, () =>
			simulation.callers.sendNewRequest(),
		)
	simulation.runFor(WARM_UP_MS)
	const before = { ...simulation.store.counts }
	const meter = new ControlCostMeter(simulation)
	const measuredCount = Math.round((requestsPerSecond * MEASUREMENT_MS) / MS_PER_SECOND)
	for (let i = 0; i < measuredCount; i++)
		simulation.queue.schedule(simulation.random.next() * MEASUREMENT_MS, () =>
			simulation.callers.sendNewRequest(),
		)
	simulation.runFor(MEASUREMENT_MS)
	const requestCount = warmUpCount + measuredCount
	const cost = meter.costSince(before)
	simulation.runFor(5_000)
	return {
		...cost,
		answeredShare: requestCount === 0 ? 1 : simulation.callers.answeredIds.size / requestCount,
	}
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
		const leaders = this.simulation.zones.length
		const seconds = MEASUREMENT_MS / MS_PER_SECOND
		const after = this.simulation.store.counts
		const leaderBytes = [...this.bytesByLeader.values()].reduce((a, b) => a + b, 0)
		return {
			messagesPerSecond: this.messages / boxes / seconds,
			bytesPerSecond: this.bytes / boxes / seconds,
			leaderBytesPerSecond: leaderBytes / leaders / seconds,
			bytesByKind: Object.fromEntries(
				[...this.bytesByKind].map(([kind, sum]) => [kind, Math.round(sum / boxes / seconds)]),
			),
			cpuShare: this.followerCpuMs / Math.max(1, boxes - leaders) / MEASUREMENT_MS,
			leaderCpuShare: this.leaderCpuMs / leaders / MEASUREMENT_MS,
			readsPerSecond: (after.reads - before.reads) / seconds,
			writesPerSecond: (after.writes - before.writes) / seconds,
			watchesPerSecond: (after.watches - before.watches) / seconds,
		}
	}
}
