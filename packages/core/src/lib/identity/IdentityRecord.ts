import type {
	AccountName,
	BoxName,
	BudgetName,
	Incarnation,
	RequestId,
	TargetName,
} from '../ids.js'
import type { Amount, Millis } from '../units.js'

/**
 * How far a request has come.
 * - `claimed`: may be running or have run.
 * - `void`: certainly did not run; may be tried again.
 * - `billed`: ran, and its bill is counted.
 * @public
 */
export type IdentityState = 'claimed' | 'void' | 'billed'

/** What is remembered of one request id. @public */
export interface IdentityRecord {
	readonly id: RequestId
	readonly account: AccountName
	/** Hash of method, path and body: the same key with another body is refused. */
	readonly bodyHash: string
	/** False where the request may run at most once. */
	readonly repeatable: boolean
	readonly state: IdentityState
	/** The box that runs it or ran it. */
	readonly box: BoxName
	readonly incarnation: Incarnation
	/** The target that holds the run, so that its answer can be resumed. */
	readonly target?: TargetName
	readonly budget: BudgetName
	/** The bill; 0 until `billed`. */
	readonly amount: Amount
	readonly at: Millis
}

const RANK: Readonly<Record<IdentityState, number>> = { claimed: 0, void: 1, billed: 2 }

/** The later of two records of the same request. A bill is never undone. @public */
export function laterRecord(a: IdentityRecord, b: IdentityRecord): IdentityRecord {
	if (a.state === 'billed' || b.state === 'billed') return a.state === 'billed' ? a : b
	if (a.at !== b.at) return a.at > b.at ? a : b
	return RANK[b.state] > RANK[a.state] ? b : a
}

/** Makes the id of a request from its client account and key. @public */
export function requestId(account: AccountName, key: string): RequestId {
	return `${account}/${key}` as RequestId
}

/** The key part of a request id. @public */
export function keyOf(id: RequestId): string {
	return id.slice(id.indexOf('/') + 1)
}

/**
 * Says that the records of the keys of one box were lost up to a time, because the box and its
 * witness went together. A key from before may have run; a new owner must not run it again.
 * @public
 */
export interface LossMark {
	/** View in which the lost box owned its keys. */
	readonly view: number
	readonly box: BoxName
	/** Boxes of that view, by which ownership is recomputed. */
	readonly members: readonly BoxName[]
	/** Time at which the loss was noted. */
	readonly at: Millis
}
