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
 * Resolves once the check for a crash is done, to true if the target has crashed.
 */
export async function reportRunEnd(
	crashes: CrashProtection,
	{ content, target, startedAt, end }: EndedRun,
): Promise<boolean> {
	const { closedByTarget, framing, outcome, status } = end
	const run = { identity: content, parts: content.sharedParts, target, startedAt }
	const isAnswer = outcome.kind === 'answered' && status < MIN_FAILURE_STATUS
	if (isAnswer && framing !== 'close') crashes.noteAnswered(content)
	// A crash ends such a response in the same way, so a new connection has to show that the target still runs.
	else if (isAnswer)
		return crashes.noteBrokenRun({
			...run,
			closedByTarget: true,
			onTargetAlive: () => crashes.noteAnswered(content),
		})
	else if (outcome.kind === 'unknown') return crashes.noteBrokenRun({ ...run, closedByTarget })
	return false
}
