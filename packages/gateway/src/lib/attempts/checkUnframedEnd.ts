import { sleep } from '../sleep.js'
import type { AttemptEnd } from './AttemptEnd.js'

/**
 * The end of an attempt, as broken if its target has crashed. Without a length or chunks, a crash ends an answer in the same
 * way as the target itself. Waits for the check of the target for at most `maxWaitMs`.
 */
export async function checkUnframedEnd(
	end: AttemptEnd,
	crashCheck: Promise<boolean>,
	maxWaitMs: number,
): Promise<AttemptEnd> {
	if (end.outcome.kind !== 'answered' || end.isSelfDelimiting) return end
	const hasCrashed = await Promise.race([crashCheck, sleep(maxWaitMs)])
	if (hasCrashed !== true) return end
	return {
		...end,
		outcome: { kind: 'unknown' },
		cause: 'its target crashed',
		closedByTarget: true,
		completeResponse: undefined,
	}
}
