/** An age in whole ms for log lines and metrics; -1: there never was a word. */
export function roundAge(ms: number): number {
	return Number.isFinite(ms) ? Math.round(ms) : -1
}
