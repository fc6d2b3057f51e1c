import type { LogValue, Placement } from '@stallwing/core'

/** Log fields with the speed of the chosen target; none if the target does not report its current slowdown. */
export function describeSpeed({ cost }: Placement): Readonly<Record<string, LogValue>> {
	if (!cost.speed) return {}
	const { lasting, momentary, momentaryAgeMs } = cost.speed
	return {
		lastingFactor: roundFactor(lasting),
		momentaryFactor: roundFactor(momentary),
		momentaryAgeMs,
	}
}

/** Two decimals: the estimates are not more accurate. */
export function roundFactor(factor: number): number {
	return Math.round(factor * 100) / 100
}
