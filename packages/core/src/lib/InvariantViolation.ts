/** Names of the invariants that are checked before each write. @public */
export type InvariantName =
	| 'slice-not-overdrawn'
	| 'watermark-not-passed'
	| 'counter-not-lowered'
	| 'zone-not-overgranted'
	| 'budget-not-overallotted'
	| 'billed-once'
	| 'run-at-most-once'
	| 'bundle-not-reverted'

/** Thrown when a write would violate an invariant. The write is not made. @public */
export class InvariantViolation extends Error {
	readonly kind = 'invariant-breach'
	constructor(
		readonly invariant: InvariantName,
		readonly facts: Readonly<Record<string, string | number | boolean>>,
	) {
		super(`invariant ${invariant} broken: ${JSON.stringify(facts)}`)
	}
}

/**
 * Checks an invariant.
 * @throws InvariantViolation if it does not hold.
 * @public
 */
export function assertInvariant(
	holds: boolean,
	invariant: InvariantName,
	facts: Readonly<Record<string, string | number | boolean>>,
): void {
	if (!holds) throw new InvariantViolation(invariant, facts)
}
