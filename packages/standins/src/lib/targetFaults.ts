/** Faults that an engine or service stand-in injects. @public */
export interface TargetFaults {
	/** Delay before the first byte of each response, in ms. */
	delayMs: number
	/** Number of requests to refuse with 503 before they run. */
	refuse: number
	/** Number of responses to abort by closing the connection. */
	closeEarly: number
	/** Number of responses that never end. */
	stall: number
	/** Number of requests to answer with a malformed body. */
	rubbish: number
	/** Number of requests to answer with an oversized body. */
	tooMuch: number
	/** Whether load reports state that the target is leaving. */
	leaving: boolean
}

/** No faults. @public */
export const NO_TARGET_FAULTS: TargetFaults = {
	delayMs: 0,
	refuse: 0,
	closeEarly: 0,
	stall: 0,
	rubbish: 0,
	tooMuch: 0,
	leaving: false,
}

/** Decrements the counter of a fault; returns true if the fault applies to the current request. */
export function consumeFault(
	faults: TargetFaults,
	name: 'refuse' | 'closeEarly' | 'stall' | 'rubbish' | 'tooMuch',
): boolean {
	if (faults[name] <= 0) return false
	faults[name]--
	return true
}
