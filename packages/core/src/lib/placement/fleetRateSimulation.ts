import { brandId, type BoxName, type TargetName } from '../ids.js'
import { maxCountInWindow } from '../maxCountInWindow.js'
import type { Millis } from '../units.js'
import { FleetRateLimiter, type FleetRateLimit } from './FleetRateLimiter.js'

export interface FleetRateSimulationOptions {
	readonly boxes: number
	/** Targets of one service, all with the same rate limit. */
	readonly targets: number
	/** Requests per second that arrive at each box. Each can be sent to any target. */
	readonly requestsPerSecondPerBox: number
	readonly rate: FleetRateLimit
	readonly random: () => number
	/** Boxes that every other one of the remaining boxes does not know yet. They know all boxes themselves. */
	readonly newBoxes: number
	/** Boxes that are down but still listed. */
	readonly downBoxes: number
	/** When a quarter of the boxes restarts with new buckets; 0 if none does. */
	readonly restartsAt: Millis
	/** When requests start to arrive. Until then the buckets fill up. */
	readonly demandStartsAt: Millis
}

export interface FleetRateSimulationResult {
	/** Maximum number of requests to one target in any window of {@link WINDOW_MS}. */
	readonly maxInWindow: number
	/** Mean number of requests per second and target. */
	readonly perSecond: number
	/** Fraction of the running boxes that sent no request. */
	readonly starvedFraction: number
}

interface SimulatedBox {
	readonly box: BoxName
	readonly boxes: readonly BoxName[]
	readonly isDown: boolean
	readonly restarts: boolean
	limiter: FleetRateLimiter
	sent: number
}

export const WINDOW_MS: Millis = 4_000
const STEP_MS: Millis = 20
const SIMULATED_MS: Millis = 40_000
const SECOND_MS = 1_000

/** Simulates boxes that send as many requests as possible to rate-limited targets, without any communication. */
export function simulateFleetRate(options: FleetRateSimulationOptions): FleetRateSimulationResult {
	const senders = makeBoxes(options)
	const targets = Array.from({ length: options.targets }, (_, i) => brandId<TargetName>(`t${i}`))
	const times = new Map<TargetName, Millis[]>(targets.map((target) => [target, []]))
	for (let now = 0; now < SIMULATED_MS; now += STEP_MS) {
		for (const sender of senders) {
			if (sender.restarts && now === options.restartsAt) sender.limiter = createLimiter(sender)
			if (sender.isDown) continue
			// One request at the start creates the buckets, which a box does only when it needs a target.
			const requests = now === 0 ? 1 : now < options.demandStartsAt ? 0 : arrivals(options)
			for (let i = requests; i > 0; i--) {
				const target = targets.find((name) => sender.limiter.canSend(name, options.rate, now))
				if (!target) break
				sender.limiter.consume(target, options.rate, now)
				sender.sent++
				times.get(target)?.push(now)
			}
		}
	}
	return summarize(options, senders, [...times.values()])
}

function makeBoxes({
	boxes,
	newBoxes,
	downBoxes,
	restartsAt,
}: FleetRateSimulationOptions): SimulatedBox[] {
	const all = Array.from({ length: boxes }, (_, i) => brandId<BoxName>(`box-${i}`))
	const withoutNewBoxes = all.slice(newBoxes)
	return all.map((box, i) => {
		const isUnaware = i >= newBoxes && i % 2 === 0
		const boxesKnown = isUnaware ? withoutNewBoxes : all
		const isDown = i >= boxes - downBoxes
		const restarts = restartsAt > 0 && i % 4 === 0
		return {
			box,
			boxes: boxesKnown,
			isDown,
			restarts,
			limiter: createLimiter({ box, boxes: boxesKnown }),
			sent: 0,
		}
	})
}

function createLimiter({ box, boxes }: Pick<SimulatedBox, 'box' | 'boxes'>): FleetRateLimiter {
	return new FleetRateLimiter({ self: box, boxes: () => boxes, isSettled: () => true })
}

function arrivals({ requestsPerSecondPerBox, random }: FleetRateSimulationOptions): number {
	return Math.floor((requestsPerSecondPerBox * STEP_MS) / SECOND_MS + random())
}

function summarize(
	{ targets }: FleetRateSimulationOptions,
	senders: readonly SimulatedBox[],
	times: readonly Millis[][],
): FleetRateSimulationResult {
	const running = senders.filter(({ isDown }) => !isDown)
	const total = times.reduce((sum, list) => sum + list.length, 0)
	return {
		maxInWindow: Math.max(...times.map((list) => maxCountInWindow(list, WINDOW_MS))),
		perSecond: total / targets / (SIMULATED_MS / SECOND_MS),
		starvedFraction: running.filter(({ sent }) => sent === 0).length / running.length,
	}
}
