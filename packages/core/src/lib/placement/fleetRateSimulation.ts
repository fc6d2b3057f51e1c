import { brandId, type BoxName, type TargetName } from '../ids.js'
import { maxCountInWindow } from '../maxCountInWindow.js'
import type { Millis } from '../units.js'
import { FleetRateLimiter, type FleetRateLimit } from './FleetRateLimiter.js'

/** What is played by {@link simulateFleetRate}. */
export interface FleetRateSimulationOptions {
	readonly boxes: number
	/** Targets of one service; each names the same rate. */
	readonly targets: number
	/** Requests a second that arrive at each box, each of which may go to any of the targets. */
	readonly requestsPerSecondPerBox: number
	readonly rate: FleetRateLimit
	readonly random: () => number
	/** Boxes that the first half of the others does not know of, and which know all. */
	readonly newBoxes: number
	/** Boxes that are down, and still listed. */
	readonly downBoxes: number
	/** When a quarter of the boxes starts anew with empty buckets. */
	readonly restartsAt: Millis
	/** When requests begin to arrive: until then all buckets fill. */
	readonly demandStartsAt: Millis
}

/** What became of it. */
export interface FleetRateSimulationResult {
	/** Most requests that reached one target in {@link WINDOW_MS}. */
	readonly maxInWindow: number
	/** Requests that reached a target in a second, in the mean of all targets. */
	readonly perSecond: number
	/** Part of the boxes that sent no request at all. */
	readonly starvedFraction: number
}

interface SimulatedBox {
	readonly box: BoxName
	readonly boxes: readonly BoxName[]
	readonly isDown: boolean
	readonly restarts: boolean
	gate: FleetRateLimiter
	sent: number
}

/** Time in which what reaches a target is added up, in ms. */
export const WINDOW_MS: Millis = 4_000
const STEP_MS: Millis = 20
const SIMULATED_MS: Millis = 40_000
const SECOND_MS = 1_000

/** Boxes that hear nothing of each other send all that they may to targets that name a rate. */
export function simulateFleetRate(options: FleetRateSimulationOptions): FleetRateSimulationResult {
	const senders = makeBoxes(options)
	const targets = Array.from({ length: options.targets }, (_, i) => brandId<TargetName>(`t${i}`))
	const times = new Map<TargetName, Millis[]>(targets.map((target) => [target, []]))
	for (let now = 0; now < SIMULATED_MS; now += STEP_MS) {
		for (const sender of senders) {
			if (sender.restarts && now === options.restartsAt) sender.gate = createLimiter(sender)
			if (sender.isDown) continue
			// Without a request a box does not look at its buckets.
			const wanted = now === 0 ? 1 : now < options.demandStartsAt ? 0 : arrivals(options)
			for (let i = wanted; i > 0; i--) {
				const target = targets.find((name) => sender.gate.canSend(name, options.rate, now))
				if (!target) break
				sender.gate.consume(target, options.rate, now)
				sender.sent++
				times.get(target)?.push(now)
			}
		}
	}
	return summarize(options, senders, [...times.values()])
}

function makeBoxes({
	boxes,
	newBoxes: newcomers,
	downBoxes: down,
	restartsAt,
}: FleetRateSimulationOptions): SimulatedBox[] {
	const all = Array.from({ length: boxes }, (_, i) => brandId<BoxName>(`box-${i}`))
	const known = all.slice(newcomers)
	return all.map((box, i) => {
		const isUnaware = i >= newcomers && i % 2 === 0
		const boxesKnown = isUnaware ? known : all
		const isDown = i >= boxes - down
		const restarts = restartsAt > 0 && i % 4 === 0
		return {
			box,
			boxes: boxesKnown,
			isDown,
			restarts,
			gate: createLimiter({ box, boxes: boxesKnown }),
			sent: 0,
		}
	})
}

function createLimiter({ box, boxes }: Pick<SimulatedBox, 'box' | 'boxes'>): FleetRateLimiter {
	return new FleetRateLimiter({ self: box, boxes: () => boxes, isSettled: () => true })
}

function arrivals({
	requestsPerSecondPerBox: demandPerBox,
	random,
}: FleetRateSimulationOptions): number {
	return Math.floor((demandPerBox * STEP_MS) / SECOND_MS + random())
}

function summarize(
	{ targets }: FleetRateSimulationOptions,
	senders: readonly SimulatedBox[],
	times: readonly Millis[][],
): FleetRateSimulationResult {
	const alive = senders.filter(({ isDown }) => !isDown)
	const sum = times.reduce((total, list) => total + list.length, 0)
	return {
		maxInWindow: Math.max(...times.map((list) => maxCountInWindow(list, WINDOW_MS))),
		perSecond: sum / targets / (SIMULATED_MS / SECOND_MS),
		starvedFraction: alive.filter(({ sent }) => sent === 0).length / alive.length,
	}
}
