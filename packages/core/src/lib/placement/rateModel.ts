import { brandId, type BoxName, type TargetName } from '../ids.js'
import { mostInWindow } from '../mostInWindow.js'
import type { Millis } from '../units.js'
import { FleetRateGate, type FleetRate } from './FleetRateGate.js'

/** What is played by {@link playRate}. */
export interface RateModelOptions {
	readonly boxes: number
	/** Targets of one service; each names the same rate. */
	readonly targets: number
	/** Requests a second that arrive at each box, each of which may go to any of the targets. */
	readonly demandPerBox: number
	readonly rate: FleetRate
	readonly random: () => number
	/** Boxes that the first half of the others does not know of, and which know all. */
	readonly newcomers: number
	/** Boxes that are down, and still listed. */
	readonly down: number
	/** When a quarter of the boxes starts anew with empty buckets. */
	readonly restartsAt: Millis
	/** When requests begin to arrive: until then all buckets fill. */
	readonly demandFrom: Millis
}

/** What became of it. */
export interface RateModelResult {
	/** Most requests that reached one target in {@link MODEL_WINDOW_MS}. */
	readonly mostInAWindow: number
	/** Requests that reached a target in a second, in the mean of all targets. */
	readonly perSecond: number
	/** Part of the boxes that sent no request at all. */
	readonly starved: number
}

interface ModelBox {
	readonly box: BoxName
	readonly boxes: readonly BoxName[]
	readonly isDown: boolean
	readonly restarts: boolean
	gate: FleetRateGate
	sent: number
}

/** Time in which what reaches a target is added up, in ms. */
export const MODEL_WINDOW_MS: Millis = 4_000
const STEP_MS: Millis = 20
const PLAYED_MS: Millis = 40_000
const SECOND_MS = 1_000

/** Boxes that hear nothing of each other send all that they may to targets that name a rate. */
export function playRate(options: RateModelOptions): RateModelResult {
	const senders = makeBoxes(options)
	const targets = Array.from({ length: options.targets }, (_, i) => brandId<TargetName>(`t${i}`))
	const times = new Map<TargetName, Millis[]>(targets.map((target) => [target, []]))
	for (let now = 0; now < PLAYED_MS; now += STEP_MS) {
		for (const sender of senders) {
			if (sender.restarts && now === options.restartsAt) sender.gate = gateOf(sender)
			if (sender.isDown) continue
			// Without a request a box does not look at its buckets.
			const wanted = now === 0 ? 1 : now < options.demandFrom ? 0 : arrivals(options)
			for (let i = wanted; i > 0; i--) {
				const target = targets.find((name) => sender.gate.isOpen(name, options.rate, now))
				if (!target) break
				sender.gate.take(target, options.rate, now)
				sender.sent++
				times.get(target)?.push(now)
			}
		}
	}
	return resultOf(options, senders, [...times.values()])
}

function makeBoxes({ boxes, newcomers, down, restartsAt }: RateModelOptions): ModelBox[] {
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
			gate: gateOf({ box, boxes: boxesKnown }),
			sent: 0,
		}
	})
}

function gateOf({ box, boxes }: Pick<ModelBox, 'box' | 'boxes'>): FleetRateGate {
	return new FleetRateGate({ self: box, boxes: () => boxes, isSettled: () => true })
}

function arrivals({ demandPerBox, random }: RateModelOptions): number {
	return Math.floor((demandPerBox * STEP_MS) / SECOND_MS + random())
}

function resultOf(
	{ targets }: RateModelOptions,
	senders: readonly ModelBox[],
	times: readonly Millis[][],
): RateModelResult {
	const alive = senders.filter(({ isDown }) => !isDown)
	const sum = times.reduce((total, list) => total + list.length, 0)
	return {
		mostInAWindow: Math.max(...times.map((list) => mostInWindow(list, MODEL_WINDOW_MS))),
		perSecond: sum / targets / (PLAYED_MS / SECOND_MS),
		starved: alive.filter(({ sent }) => sent === 0).length / alive.length,
	}
}
