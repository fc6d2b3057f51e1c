/** An age in whole ms for log events and metrics; -1 if it is infinite. */
export function roundAge(ms: number): number {
	return Number.isFinite(ms) ? Math.round(ms) : -1
}
