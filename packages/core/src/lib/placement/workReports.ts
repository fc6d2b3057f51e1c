import type { BoxName } from '../ids.js'
import type { Millis } from '../units.js'
import { isPeerWorkFresh } from './placementCost.js'
import { incarnationOf } from './TargetIncarnation.js'
import type { TargetState } from './TargetState.js'
import type { TargetWork } from './TargetWork.js'

/** Work in flight for each target: that of this box and the recent reports of the boxes selected by `includes`. */
export function openWorkOf(
	targets: Iterable<TargetState>,
	includes: (box: BoxName) => boolean,
	now: Millis,
): TargetWork[] {
	const rows: TargetWork[] = []
	for (const state of targets) {
		let prefillTokens = 0
		let openRequests = state.openAttempts.size
		for (const attempt of state.openAttempts)
			if (!attempt.hasFirstByte) prefillTokens += attempt.prefillTokens
		for (const [box, work] of state.peerWork) {
			if (!includes(box) || !isPeerWorkFresh(work, now)) continue
			prefillTokens += work.prefillTokens
			openRequests += work.openRequests
		}
		if (openRequests > 0)
			rows.push({ incarnation: incarnationOf(state.entry), prefillTokens, openRequests })
	}
	return rows
}

/** Records the complete work report of another box: targets missing from it have no work of that box. */
export function recordPeerWork(
	targets: Iterable<TargetState>,
	box: BoxName,
	rows: readonly TargetWork[],
	now: Millis,
): void {
	const rowsByIncarnation = new Map(rows.map((row) => [row.incarnation, row]))
	for (const state of targets) {
		const row = rowsByIncarnation.get(incarnationOf(state.entry))
		if (row)
			state.peerWork.set(box, {
				prefillTokens: row.prefillTokens,
				openRequests: row.openRequests,
				receivedAt: now,
			})
		else state.peerWork.delete(box)
	}
}
