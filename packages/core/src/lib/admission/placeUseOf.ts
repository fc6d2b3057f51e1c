import { isPeerWorkFresh, overdueMs } from '../placement/placementCost.js'
import type { TargetState } from '../placement/TargetState.js'
import type { Millis } from '../units.js'
import type { PlaceUse } from './PlaceUse.js'

/** Age from which the load that a target reported is ignored. */
const MAX_LOAD_AGE_MS: Millis = 600

/**
 * Sums the places of targets that accept requests, and their use. Targets that are ejected or whose responses are overdue
 * are left out: their places do not become free. `maxPerTarget` bounds the places of one target, such as by its memory.
 */
export function placeUseOf(
	targets: readonly TargetState[],
	maxPerTarget: number,
	now: Millis,
): PlaceUse {
	let places = 0
	let reported = 0
	let own = 0
	let peers = 0
	let peersAgeSum = 0
	let reportedAgeSum = 0
	let isKnown = false
	for (const target of targets) {
		if (target.isEjected(now) || overdueMs(target, now) > 0) continue
		const { load } = target
		places += Math.min(maxPerTarget, load?.slots ?? target.entry.slots)
		own += target.openAttempts.size
		if (load && now - target.loadReportedAt < MAX_LOAD_AGE_MS) {
			const requests = load.running + load.waiting
			reported += requests
			reportedAgeSum += requests * (now - target.loadReportedAt)
			isKnown = true
		}
		for (const work of target.peerWork.values()) {
			if (!isPeerWorkFresh(work, now)) continue
			peers += work.openRequests
			peersAgeSum += work.openRequests * (now - work.receivedAt)
			isKnown = true
		}
	}
	return {
		places,
		reported,
		own,
		peers,
		reportedAgeMs: reportedAgeSum / Math.max(1, reported),
		peersAgeMs: peersAgeSum / Math.max(1, peers),
		isKnown,
	}
}
