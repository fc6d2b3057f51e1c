import type { BalanceInput, BalanceDecision } from '@stallwing/core'

/** Fields of the log event of a move: the decision, its inputs and the age of the reports, in ms. */
export function describeMove({
	decision,
	own,
	peers,
	zoneSize,
	now,
}: BalanceInput & { readonly decision: BalanceDecision }): Readonly<
	Record<string, string | number>
> {
	const ages = peers.map(({ receivedAt }) => now - receivedAt)
	return {
		reason: decision.reason,
		closeShare: round(decision.closeShare),
		linkUse: round(own.linkUse),
		loopDelayMs: Math.round(own.loopDelayMs),
		zoneSize,
		reports: peers.length,
		readyPeers: peers.filter(({ isReady }) => isReady).length,
		meanPeerUse: round(
			peers.reduce((sum, { linkUse }) => sum + linkUse, 0) / Math.max(1, peers.length),
		),
		oldestReportMs: Math.round(Math.max(0, ...ages)),
	}
}

function round(value: number): number {
	return Math.round(value * 1_000) / 1_000
}
