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
 * How far the present turn of a request has come.
 * - `claimed`: may be running or have run.
 * - `void`: this turn certainly did not run; the request may be tried again.
 * - `billed`: ran, and its bill is counted.
 * @public
 */
export type IdempotencyState = 'claimed' | 'void' | 'billed'

/** What is remembered of one request id. @public */
export interface IdempotencyRecord {
	readonly id: RequestId
	/** Hash of method, path and body: the same key with another body is refused. */
	readonly bodyHash: string
	/** False where the request may run at most once. */
	readonly repeatable: boolean
	/** Counts the claims of this request; a new claim has the next number. */
	readonly turn: number
	readonly state: IdempotencyState
	/** The box that has the present turn. */
	readonly box: BoxName
	readonly incarnation: Incarnation
	/** The target that holds the run, so that its answer can be resumed. */
	readonly target?: TargetName
	readonly budget: BudgetName
	/** Billed over all turns so far; a later turn bills only the difference. */
	readonly amount: Amount
	readonly at: Millis
}

const STATE_ORDER: Readonly<Record<IdempotencyState, number>> = { claimed: 0, void: 1, billed: 2 }

/** The later of two records of the same request: the higher turn, then the later state. @public */
export function laterRecord(a: IdempotencyRecord, b: IdempotencyRecord): IdempotencyRecord {
	if (a.turn !== b.turn) return a.turn > b.turn ? a : b
	if (STATE_ORDER[a.state] !== STATE_ORDER[b.state])
		return STATE_ORDER[a.state] > STATE_ORDER[b.state] ? a : b
	return b.at > a.at ? b : a
}

/** True where some turn of the request ran or may have run. @public */
export function mayHaveRun(record: IdempotencyRecord | undefined): boolean {
	return record !== undefined && (record.state !== 'void' || record.amount > 0)
}

/** Makes the id of a request from its client account and key. @public */
export function requestId(account: AccountName, key: string): RequestId {
	return `${account}/${key}` as RequestId
}

/** A bill that follows a claim which the receiver has already. @public */
export interface BillRow {
	readonly id: RequestId
	readonly turn: number
	readonly amount: Amount
	readonly at: Millis
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
export interface RecordLoss {
	/** View in which the lost box owned its keys. */
	readonly view: number
	readonly box: BoxName
	/** Boxes of that view, by which ownership is recomputed. */
	readonly members: readonly BoxName[]
	/** Time at which the loss was noted. */
	readonly at: Millis
}
