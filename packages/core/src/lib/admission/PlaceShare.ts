import { SECOND_MS, type Millis } from '../units.js'
import { MIN_RANK_FRACTION } from './minRankFraction.js'

/** Work that callers bring to one box for one rank of a service, in ms of place time per ms. @public */
export interface RankDemand {
	readonly rank: number
	readonly workPerMs: number
}

/** What one box needs of the places of a service. @public */
export interface BoxDemand {
	readonly ranks: readonly RankDemand[]
	/** Work that callers usually bring to the box, in ms per ms. Boxes share scarce places in proportion to it. */
	readonly usualWorkPerMs: number
}

interface ReceivedDemand {
	readonly demand: BoxDemand
	readonly receivedAt: Millis
}

/**
 * Age from which the demand of another box is ignored while others report. Up to 160 boxes, reports are less than half as
 * far apart, so one may be lost; in a larger fleet, a box whose report is lost is left out until its next one.
 */
export const MAX_DEMAND_AGE_MS: Millis = 1_000
/** Fraction of the places that is divided by usual work first, so that no box is left without a share. */
const BASE_FRACTION = 0.02
const MIN_WEIGHT = 1e-6
/**
 * Share of a box beyond its mean demand, in standard deviations of the work that arrives within a second. Requests do not
 * arrive evenly, least of all at a box with few of them, so with the mean alone they would wait long.
 */
const HEADROOM_DEVIATIONS = 0.5
/** Multiple of its usual work from which a box brings more than usual. Below, it can be chance. */
const EXCESS_FACTOR = 1.5

/**
 * Divides the places of a service among boxes: the most urgent rank first, but each rank with a minimum share; within a
 * rank by usual work, and what a box does not need goes to the others. A box that hears no other box keeps its last share.
 */
export class PlaceShare {
	private readonly peers = new Map<string, ReceivedDemand>()
	private lastShare: number | undefined

	/** Records the demand of another box. */
	note(box: string, demand: BoxDemand, now: Millis): void {
		this.peers.set(box, { demand, receivedAt: now })
	}

	/** True if a report of another box has arrived recently. */
	hasFreshPeers(now: Millis): boolean {
		for (const { receivedAt } of this.peers.values())
			if (now - receivedAt < MAX_DEMAND_AGE_MS) return true
		return false
	}

	/** True if a share has been computed from reports of other boxes. */
	get hasShare(): boolean {
		return this.lastShare !== undefined
	}

	/**
	 * Fraction of the places for a box with the demand `own`; undefined if no share was ever computed from reports. `requestMs` is the
	 * mean work of a request.
	 */
	of(own: BoxDemand, placeWorkPerMs: number, requestMs: Millis, now: Millis): number | undefined {
		if (!this.hasFreshPeers(now)) return this.lastShare
		this.lastShare = shareOfFirst(this.demands(own, now), placeWorkPerMs, requestMs)
		return this.lastShare
	}

	/** The demand `own` of this box, and the recent ones of the others. */
	demands(own: BoxDemand, now: Millis): readonly BoxDemand[] {
		const demands = [own]
		const hasFreshPeers = this.hasFreshPeers(now)
		for (const [box, { demand, receivedAt }] of this.peers) {
			if (now - receivedAt < MAX_DEMAND_AGE_MS) demands.push(demand)
			else if (hasFreshPeers) this.peers.delete(box)
		}
		return demands
	}
}

/**
 * Fraction of the work at the given boxes that can wait for a request of the rank: what is less urgent, and unless
 * `isExcess`, what boxes bring beyond their usual work.
 */
export function deferrableFraction(
	boxes: readonly BoxDemand[],
	rank: number,
	isExcess: boolean,
): number {
	let total = 0
	let deferrable = 0
	for (const { ranks, usualWorkPerMs } of boxes) {
		let work = 0
		for (const demand of ranks) {
			work += demand.workPerMs
			if (demand.rank > rank) deferrable += demand.workPerMs
		}
		total += work
		if (!isExcess && usualWorkPerMs > 0)
			deferrable += Math.max(0, work - EXCESS_FACTOR * usualWorkPerMs)
	}
	return total > 0 ? Math.min(1, deferrable / total) : 0
}

/** Fraction of the places for the first of the boxes. `requestMs` is the mean work of a request. */
export function shareOfFirst(
	boxes: readonly BoxDemand[],
	placeWorkPerMs: number,
	requestMs: Millis,
): number {
	const weights = boxes.map(({ usualWorkPerMs }) => Math.max(MIN_WEIGHT, usualWorkPerMs))
	const totalWeight = weights.reduce((sum, weight) => sum + weight, 0)
	const base = (weights[0] ?? 0) / totalWeight
	if (placeWorkPerMs <= 0) return base
	const ranks = [...new Set(boxes.flatMap((box) => box.ranks.map(({ rank }) => rank)))]
	ranks.sort((a, b) => a - b)
	const needsByRank = ranks.map((rank) =>
		boxes.map((box) =>
			withHeadroom(box.ranks.find((demand) => demand.rank === rank)?.workPerMs ?? 0, requestMs),
		),
	)
	const totalByRank = needsByRank.map((needs) => needs.reduce((sum, need) => sum + need, 0))
	const totalNeed = totalByRank.reduce((sum, need) => sum + need, 0)
	let left = placeWorkPerMs * (1 - BASE_FRACTION)
	let granted = placeWorkPerMs * BASE_FRACTION * base
	const minFraction = totalNeed > 0 ? MIN_RANK_FRACTION * Math.min(1, left / totalNeed) : 0
	/** Minimum shares of the ranks that have not had their turn. */
	let reserved = minFraction * totalNeed
	needsByRank.forEach((needs, index) => {
		reserved -= minFraction * (totalByRank[index] ?? 0)
		const grants = divideFairly(left - reserved, needs, weights)
		granted += grants[0] ?? 0
		left -= grants.reduce((sum, grant) => sum + grant, 0)
	})
	// Places that no box needs are divided by usual work.
	granted += Math.max(0, left) * base
	return Math.min(1, granted / placeWorkPerMs)
}

function withHeadroom(workPerMs: number, requestMs: Millis): number {
	return workPerMs + HEADROOM_DEVIATIONS * Math.sqrt((workPerMs * requestMs) / SECOND_MS)
}

/** Weighted max-min fair division: each gets at most its need, and what one does not need goes to the others. */
export function divideFairly(
	amount: number,
	needs: readonly number[],
	weights: readonly number[],
): number[] {
	const grants = needs.map(() => 0)
	const byLevel = needs
		.map((need, index) => ({ index, need, weight: weights[index] ?? 1 }))
		.filter(({ need }) => need > 0)
		.sort((a, b) => a.need / a.weight - b.need / b.weight)
	let left = Math.max(0, amount)
	let leftWeight = byLevel.reduce((sum, { weight }) => sum + weight, 0)
	for (const { index, need, weight } of byLevel) {
		const grant = Math.min(need, (left * weight) / leftWeight)
		grants[index] = grant
		left -= grant
		leftWeight -= weight
	}
	return grants
}
