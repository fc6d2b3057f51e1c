/** Faults that an engine or service stand-in can be told to show. @public */
export interface TargetFaults {
	/** Delay before the first byte, in ms. */
	delayMs: number
	/** Refuse this many requests with 503 before they run. */
	refuse: number
	/** Break the connection in the middle of this many answers. */
	closeEarly: number
	/** Never end this many answers. */
	stall: number
	/** Answer this many requests with bytes that mean nothing. */
	rubbish: number
	/** Answer this many requests with far more than was asked. */
	tooMuch: number
	/** Say in the load report that the target is leaving. */
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

/** Takes one off a counted fault; true where it is to be shown now. */
export function consumeFault(
	faults: TargetFaults,
	name: 'refuse' | 'closeEarly' | 'stall' | 'rubbish' | 'tooMuch',
): boolean {
	if (faults[name] <= 0) return false
	faults[name]--
	return true
}
