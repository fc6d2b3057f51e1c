import type { TargetEntry } from '@stallwing/core'
import type { AttemptEnd } from './Attempt.js'
import type { CrashProtection } from './CrashProtection.js'
import type { RequestContent } from './RequestContent.js'

/** A run that is over. */
interface EndedRun {
	readonly content: RequestContent
	readonly target: TargetEntry
	/** Steady time at which it began, in ms. */
	readonly startedAt: number
	readonly end: AttemptEnd
}

/** Statuses from here on are failures of the target. */
const MIN_FAILURE_STATUS = 500

/**
 * What the end of a run says about its request: it was answered, or perhaps ended its target. Resolves once that is
 * known, as far as it shows soon.
 */
export async function reportRunEnd(
	crashes: CrashProtection,
	{ content, target, startedAt: beganAt, end }: EndedRun,
): Promise<void> {
	const { outcome, status, closedByTarget: wasClosed } = end
	if (outcome.kind === 'answered' && status < MIN_FAILURE_STATUS) crashes.noteAnswered(content)
	if (outcome.kind !== 'unknown') return
	await crashes.noteBroken({ identity: content, target, beganAt, wasClosed })
}
