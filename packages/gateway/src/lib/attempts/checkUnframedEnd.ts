import { sleep } from '../sleep.js'
import type { AttemptEnd } from './AttemptEnd.js'

/** What the check of an answer without framing showed. */
export interface UnframedEndCheck {
	readonly sign: 'crashed' | 'not known to have crashed' | 'no result in time'
	readonly tookMs: number
}

export interface UnframedEndOptions {
	/** Resolves to true if the target is known to have crashed. */
	readonly crashCheck: Promise<boolean>
	/** Longest wait for it, in ms. */
	readonly maxWaitMs: number
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly onChecked: (check: UnframedEndCheck) => void
}

/**
 * The end of an attempt, as broken if its target has crashed. Without a length or chunks, a crash ends an answer in the same
 * way as the target itself.
 */
export async function checkUnframedEnd(
	end: AttemptEnd,
	{ crashCheck, maxWaitMs, now, onChecked }: UnframedEndOptions,
): Promise<AttemptEnd> {
	if (end.outcome.kind !== 'answered' || end.framing !== 'close') return end
	const startedAt = now()
	const hasCrashed = await Promise.race([crashCheck, sleep(maxWaitMs)])
	onChecked({ sign: signOf(hasCrashed), tookMs: now() - startedAt })
	if (hasCrashed !== true) return end
	return {
		...end,
		outcome: { kind: 'unknown' },
		cause: 'its target crashed',
		closedByTarget: true,
		completeResponse: undefined,
	}
}

function signOf(hasCrashed: boolean | void): UnframedEndCheck['sign'] {
	if (hasCrashed === undefined) return 'no result in time'
	return hasCrashed ? 'crashed' : 'not known to have crashed'
}
