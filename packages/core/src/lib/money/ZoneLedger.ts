import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { assertInvariant } from '../InvariantViolation.js'
import type { Amount } from '../units.js'
import { balanceOf, type SliceCounters } from './SliceLedger.js'

/** Counters of one box incarnation and budget in the zone ledger. @public */
export interface LedgerEntry {
	granted: Amount
	returned: Amount
	billed: Amount
	/** Tokens sent to and received from other boxes, as last reported; absent for none. */
	sent?: Amount
	received?: Amount
	/** Set when the incarnation has ended: tokens that it may have spent beyond `billed`. */
	inDoubt?: Amount
	/** Set once a replica has reported: all bills of the incarnation are counted. */
	sealed?: boolean
	/** Set if no replica can ever report. The incarnation's own final counters are used instead. */
	unwitnessed?: boolean
}

/** All entries of one budget in one zone. @public */
export interface LedgerBudget {
	/** Highest allotment read from the budget shard. */
	allotted: Amount
	/** Tokens returned to the budget shard. Written to the ledger before the shard. */
	returned: Amount
	/** Sum of all closed entries. */
	closed: LedgerEntry
	/** Open entries, by `<box>#<incarnation>`. */
	entries: Record<string, LedgerEntry>
}

/** Value stored on the platform for one zone and shard. Written by the zone leader, by compare-and-swap. @public */
export interface ZoneLedgerValue {
	/** View of the last writer. A leader with an older view must not write. */
	view: number
	/** Keys of sealed incarnations, latest last. Repeated reports on them are ignored. */
	readonly sealed: string[]
	readonly budgets: Record<string, LedgerBudget>
}

/** Maximum sealed keys kept in a ledger. Reports are repeated for a few seconds only. */
const MAX_SEALED_KEYS = 256

/** Records that an incarnation is sealed in this ledger. @public */
export function addSealed(value: ZoneLedgerValue, key: string): void {
	value.sealed.push(key)
	while (value.sealed.length > MAX_SEALED_KEYS) value.sealed.shift()
}

/** Key of a box incarnation inside a ledger value. @public */
export function entryKey(box: BoxName, incarnation: Incarnation): string {
	return `${box}#${incarnation}`
}

/** Splits an {@link entryKey} into its parts. @public */
export function parseEntryKey(key: string): { box: BoxName; incarnation: Incarnation } {
	const at = key.indexOf('#')
	return { box: key.slice(0, at) as BoxName, incarnation: key.slice(at + 1) as Incarnation }
}

/** An empty ledger value. @public */
export function emptyZoneLedger(): ZoneLedgerValue {
	return { view: 0, sealed: [], budgets: {} }
}

/** The budget's part of a ledger value, created if absent. @public */
export function getOrCreateLedgerBudget(value: ZoneLedgerValue, budget: BudgetName): LedgerBudget {
	const existing = value.budgets[budget]
	if (existing) return existing
	const created: LedgerBudget = {
		allotted: 0,
		returned: 0,
		closed: { granted: 0, returned: 0, billed: 0 },
		entries: {},
	}
	value.budgets[budget] = created
	return created
}

/** Tokens granted to boxes of the zone and not returned, spent ones included. @public */
export function outstandingInZone(row: LedgerBudget): Amount {
	let sum = row.closed.granted - row.closed.returned
	for (const entry of Object.values(row.entries)) sum += entry.granted - entry.returned
	return sum
}

/** Tokens of the zone that no box holds. @public */
export function freeInZone(row: LedgerBudget): Amount {
	return row.allotted - row.returned - outstandingInZone(row)
}

/** Tokens billed in the zone, according to the ledger. @public */
export function billedInZone(row: LedgerBudget): Amount {
	let sum = row.closed.billed
	for (const entry of Object.values(row.entries)) sum += entry.billed
	return sum
}

/**
 * Tokens in doubt in the zone: those of ended incarnations, and those sent to a box that has not reported their receipt.
 * The latter are in transit, or were lost with a box that no replica reported on.
 * @public
 */
export function inDoubtInZone(row: LedgerBudget): Amount {
	let inDoubt = 0
	let inTransit = 0
	for (const entry of [row.closed, ...Object.values(row.entries)]) {
		inDoubt += entry.inDoubt ?? 0
		inTransit += (entry.sent ?? 0) - (entry.received ?? 0)
	}
	return inDoubt + Math.max(0, inTransit)
}

/** Raises the transfer counters of an entry; lower values are ignored. */
function raiseTransferCounters(entry: LedgerEntry, sent: Amount, received: Amount): void {
	if (sent > (entry.sent ?? 0)) entry.sent = sent
	if (received > (entry.received ?? 0)) entry.received = received
}

function getOrCreateEntry(row: LedgerBudget, key: string): LedgerEntry {
	const existing = row.entries[key]
	if (existing) return existing
	const created: LedgerEntry = { granted: 0, returned: 0, billed: 0 }
	row.entries[key] = created
	return created
}

function assertNotOvergranted(row: LedgerBudget): void {
	const free = freeInZone(row)
	assertInvariant(free >= 0, 'zone-not-overgranted', { allotted: row.allotted, free })
}

/** Raises the allotment; a lower value is ignored. @public */
export function raiseAllotment(row: LedgerBudget, allotted: Amount): void {
	row.allotted = Math.max(row.allotted, allotted)
}

/** Grants up to `want` tokens to a box. Returns the amount granted by this call. @public */
export function grantToBox(row: LedgerBudget, key: string, want: Amount): Amount {
	const entry = getOrCreateEntry(row, key)
	if (entry.inDoubt !== undefined) return 0
	const grantedNow = Math.max(0, Math.min(want, freeInZone(row)))
	entry.granted += grantedNow
	assertNotOvergranted(row)
	return grantedNow
}

/** Raises a box's own cumulative counters; lower values are ignored. @public */
export function raiseCounters(row: LedgerBudget, key: string, counters: SliceCounters): void {
	const entry = getOrCreateEntry(row, key)
	entry.billed = Math.max(entry.billed, counters.billed)
	entry.returned = Math.max(entry.returned, counters.returned)
	raiseTransferCounters(entry, counters.sent, counters.received)
	assertNotOvergranted(row)
}

/** What a replica knows about one budget of an ended box incarnation. @public */
export interface ReplicaReport {
	readonly billed: Amount
	/** Upper bound of the tokens billed or reserved by the incarnation. */
	readonly watermark: Amount
	readonly sent: Amount
	readonly received: Amount
	readonly returned: Amount
}

/**
 * Seals the entry of an ended incarnation. Tokens beyond the watermark become free; those between `billed` and the
 * watermark stay in doubt.
 * @public
 */
export function sealEntry(row: LedgerBudget, key: string, report: ReplicaReport): void {
	const entry = getOrCreateEntry(row, key)
	if (entry.sealed) return
	const returned = Math.max(entry.returned, report.returned)
	const balance = balanceOf({ ...report, granted: entry.granted, returned })
	const billed = Math.max(entry.billed, report.billed)
	const drawn = Math.max(billed, Math.min(balance, report.watermark))
	const free = Math.max(0, balance - drawn)
	raiseTransferCounters(entry, report.sent, report.received)
	entry.billed = billed
	entry.returned = returned + free
	entry.inDoubt = Math.max(0, Math.min(balance, drawn) - billed)
	entry.sealed = true
	assertNotOvergranted(row)
	if (entry.inDoubt === 0) closeEntry(row, key)
}

/**
 * Marks all unbilled tokens of an ended incarnation as in doubt until its replica reports. The entry stays open even if
 * nothing is in doubt, because the report may contain further bills.
 * @public
 */
export function markEntryInDoubt(row: LedgerBudget, key: string): void {
	const entry = row.entries[key]
	if (!entry || entry.inDoubt !== undefined) return
	const { granted, returned, sent = 0, received = 0 } = entry
	const balance = balanceOf({ granted, returned, sent, received, billed: 0 })
	entry.inDoubt = Math.max(0, balance - entry.billed)
}

/**
 * Frees the tokens in doubt of an incarnation and closes its entry. Call this only when the incarnation or an operator
 * has confirmed that they were not spent. Returns the freed amount.
 * @public
 */
export function releaseEntry(row: LedgerBudget, key: string): Amount {
	const entry = row.entries[key]
	if (!entry || entry.inDoubt === undefined) return 0
	const freed = entry.inDoubt
	entry.returned += freed
	entry.inDoubt = 0
	assertNotOvergranted(row)
	closeEntry(row, key)
	return freed
}

/** Adds an entry that cannot change any more to the sum of closed entries and removes it. @public */
export function closeEntry(row: LedgerBudget, key: string): void {
	const entry = row.entries[key]
	if (!entry) return
	row.closed.granted += entry.granted
	row.closed.returned += entry.returned
	row.closed.billed += entry.billed
	raiseTransferCounters(
		row.closed,
		(row.closed.sent ?? 0) + (entry.sent ?? 0),
		(row.closed.received ?? 0) + (entry.received ?? 0),
	)
	delete row.entries[key]
	assertNotOvergranted(row)
}

/** Returns up to `amount` free tokens of the zone to the shard. Returns the cumulative amount returned. @public */
export function returnToShard(row: LedgerBudget, amount: Amount): Amount {
	row.returned += Math.max(0, Math.min(amount, freeInZone(row)))
	assertNotOvergranted(row)
	return row.returned
}
