import type { TargetEntry } from '@stallwing/core'
import type { AttemptEnd } from './attempts/AttemptEnd.js'
import type { CrashProtection } from './CrashProtection.js'
import type { RequestContent } from './RequestContent.js'

/** A run of a request at a target that has ended. */
interface EndedRun {
	readonly content: RequestContent
	readonly target: TargetEntry
	/** Start of the run on the monotonic clock, in ms. */
	readonly startedAt: number
	readonly end: AttemptEnd
}

/** Statuses from this one on are failures of the target. */
const MIN_FAILURE_STATUS = 500

/**
 * Reports the end of a run to the crash protection: the request was answered, or may have crashed its target.
 * Resolves once the check for a crash is done.
 */
export async function reportRunEnd(
	crashes: CrashProtection,
	{ content, target, startedAt, end }: EndedRun,
): Promise<void> {
	const { closedByTarget, outcome, status } = end
	if (outcome.kind === 'answered' && status < MIN_FAILURE_STATUS) crashes.noteAnswered(content)
	if (outcome.kind !== 'unknown') return
	const run = { identity: content, parts: content.sharedParts, target, startedAt }
	await crashes.noteBrokenRun({ ...run, closedByTarget })
}
