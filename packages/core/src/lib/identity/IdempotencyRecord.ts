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
 * State of the latest turn of a request.
 * - `claimed`: may be running or have run.
 * - `void`: did not run; the request may be tried again.
 * - `billed`: ran, and its charge is included in `amount`.
 * @public
 */
export type IdempotencyState = 'claimed' | 'void' | 'billed'

/** Record that makes a request idempotent: what is known of its earlier runs. @public */
export interface IdempotencyRecord {
	readonly id: RequestId
	/** Hash of method, path and body. A request with the same key and a different hash is refused. */
	readonly bodyHash: string
	/** False if the request may run at most once. */
	readonly repeatable: boolean
	/** Number of the latest claim of this request; incremented by each new claim. */
	readonly turn: number
	readonly state: IdempotencyState
	/** The box that made the latest claim. */
	readonly box: BoxName
	readonly incarnation: Incarnation
	/** Target of the run, at which its answer can be resumed. */
	readonly target?: TargetName
	readonly budget: BudgetName
	/** Amount billed over all turns. A later turn bills only the difference. */
	readonly amount: Amount
	readonly at: Millis
}

const STATE_ORDER: Readonly<Record<IdempotencyState, number>> = { claimed: 0, void: 1, billed: 2 }

/** Returns the later of two records of a request, ordered by turn, state and time. @public */
export function laterRecord(a: IdempotencyRecord, b: IdempotencyRecord): IdempotencyRecord {
	if (a.turn !== b.turn) return a.turn > b.turn ? a : b
	if (STATE_ORDER[a.state] !== STATE_ORDER[b.state])
		return STATE_ORDER[a.state] > STATE_ORDER[b.state] ? a : b
	return b.at > a.at ? b : a
}

/** True if any turn of the request ran or may have run. @public */
export function mayHaveRun(record: IdempotencyRecord | undefined): boolean {
	return record !== undefined && (record.state !== 'void' || record.amount > 0)
}

/** Creates the id of a request from its client account and key. @public */
export function requestId(account: AccountName, key: string): RequestId {
	return `${account}/${key}` as RequestId
}

/** Charge of a claim whose record the receiver already holds. @public */
export interface BillRow {
	readonly id: RequestId
	readonly turn: number
	readonly amount: Amount
	readonly at: Millis
}

/** Returns the idempotency key of a request id. @public */
export function keyOf(id: RequestId): string {
	return id.slice(id.indexOf('/') + 1)
}

/**
 * Loss of the idempotency records of a box, because the box and its replica failed together. A request whose key is
 * older than the loss may have run, and the new owner of the key must not run it again.
 * @public
 */
export interface RecordLoss {
	/** View in which the lost box owned its keys. */
	readonly view: number
	readonly box: BoxName
	/** Boxes of that view that could own keys; determine which keys the lost box owned. */
	readonly members: readonly BoxName[]
	/** Time at which the loss was detected, in Unix ms. */
	readonly at: Millis
}
