import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { assertInvariant } from '../InvariantViolation.js'
import type { Amount } from '../units.js'
import { balanceOf, type SliceCounters } from './SliceLedger.js'

/** What the zone ledger holds of one box incarnation and budget. @public */
export interface LedgerEntry {
	granted: Amount
	returned: Amount
	billed: Amount
	/** Sent to and received from other boxes, as last reported; absent for none. */
	sent?: Amount
	received?: Amount
	/** Set when the incarnation is gone: what it may have spent beyond `billed`. */
	inDoubt?: Amount
	/** Set once a witness has testified: its bills are all counted. */
	sealed?: boolean
	/** Set where no witness can ever testify: then the word of the incarnation itself counts. */
	unwitnessed?: boolean
}

/** All entries of one budget in one zone. @public */
export interface LedgerBudget {
	/** Highest allotment that was read from the budget shard. */
	allotted: Amount
	/** Given back to the budget shard; written here before it is written there. */
	returned: Amount
	/** Sum of the entries that are closed and have been folded away. */
	closed: LedgerEntry
	/** Open entries, by `<box>#<incarnation>`. */
	entries: Record<string, LedgerEntry>
}

/** Platform value of one zone and shard. Written by the keeper, by compare-and-swap. @public */
export interface ZoneLedgerValue {
	/** View of the last writer. A keeper with an older view must not write. */
	view: number
	/** Incarnations whose witness has testified, latest last; a repeated testimony is not taken. */
	readonly sealed: string[]
	readonly budgets: Record<string, LedgerBudget>
}

/** Sealed incarnations that a ledger remembers; a testimony is repeated for seconds only. */
const MAX_SEALED_KEYS = 256

/** Notes that an incarnation is sealed in this ledger. @public */
export function addSealed(value: ZoneLedgerValue, key: string): void {
	value.sealed.push(key)
	while (value.sealed.length > MAX_SEALED_KEYS) value.sealed.shift()
}

/** Key of a box incarnation inside a ledger value. @public */
export function entryKey(box: BoxName, incarnation: Incarnation): string {
	return `${box}#${incarnation}`
}

/** Reads the parts of an {@link entryKey}. @public */
export function parseEntryKey(key: string): { box: BoxName; incarnation: Incarnation } {
	const at = key.indexOf('#')
	return { box: key.slice(0, at) as BoxName, incarnation: key.slice(at + 1) as Incarnation }
}

/** An empty ledger value. @public */
export function emptyZoneLedger(): ZoneLedgerValue {
	return { view: 0, sealed: [], budgets: {} }
}

/** The budget's part of a ledger value, made where absent. @public */
export function getOrCreateLedgerBudget(value: ZoneLedgerValue, budget: BudgetName): LedgerBudget {
	const found = value.budgets[budget]
	if (found) return found
	const made: LedgerBudget = {
		allotted: 0,
		returned: 0,
		closed: { granted: 0, returned: 0, billed: 0 },
		entries: {},
	}
	value.budgets[budget] = made
	return made
}

/** Money that boxes of the zone hold, spent money included. @public */
export function outstandingInZone(row: LedgerBudget): Amount {
	let sum = row.closed.granted - row.closed.returned
	for (const entry of Object.values(row.entries)) sum += entry.granted - entry.returned
	return sum
}

/** Money of the zone that no box holds. @public */
export function freeInZone(row: LedgerBudget): Amount {
	return row.allotted - row.returned - outstandingInZone(row)
}

/** Money billed in the zone, as far as the ledger knows. @public */
export function billedInZone(row: LedgerBudget): Amount {
	let sum = row.closed.billed
	for (const entry of Object.values(row.entries)) sum += entry.billed
	return sum
}

/**
 * Money in doubt in the zone: held by incarnations that are gone, or sent to a box that has not
 * reported it. The latter is on its way for some seconds, or went with a box that nobody testified of.
 * @public
 */
export function inDoubtInZone(row: LedgerBudget): Amount {
	let doubt = 0
	let underway = 0
	for (const entry of [row.closed, ...Object.values(row.entries)]) {
		doubt += entry.inDoubt ?? 0
		underway += (entry.sent ?? 0) - (entry.received ?? 0)
	}
	return doubt + Math.max(0, underway)
}

/** Takes higher transfer counters into an entry. */
function raiseTransferCounters(entry: LedgerEntry, sent: Amount, received: Amount): void {
	if (sent > (entry.sent ?? 0)) entry.sent = sent
	if (received > (entry.received ?? 0)) entry.received = received
}

function getOrCreateEntry(row: LedgerBudget, key: string): LedgerEntry {
	const found = row.entries[key]
	if (found) return found
	const made: LedgerEntry = { granted: 0, returned: 0, billed: 0 }
	row.entries[key] = made
	return made
}

function assertNotOvergranted(row: LedgerBudget): void {
	const free = freeInZone(row)
	assertInvariant(free >= 0, 'zone-not-overgranted', { allotted: row.allotted, free })
}

/** Notes a newer allotment of the shard. An older one changes nothing. @public */
export function raiseAllotment(row: LedgerBudget, allotted: Amount): void {
	row.allotted = Math.max(row.allotted, allotted)
}

/** Grants up to `want` to a box. Returns what was granted now. @public */
export function grantToBox(row: LedgerBudget, key: string, want: Amount): Amount {
	const entry = getOrCreateEntry(row, key)
	if (entry.inDoubt !== undefined) return 0
	const given = Math.max(0, Math.min(want, freeInZone(row)))
	entry.granted += given
	assertNotOvergranted(row)
	return given
}

/** Takes a box's own cumulative counters. Older ones change nothing. @public */
export function raiseCounters(row: LedgerBudget, key: string, counters: SliceCounters): void {
	const entry = getOrCreateEntry(row, key)
	entry.billed = Math.max(entry.billed, counters.billed)
	entry.returned = Math.max(entry.returned, counters.returned)
	raiseTransferCounters(entry, counters.sent, counters.received)
	assertNotOvergranted(row)
}

/** What a witness knows of a box incarnation that is gone, for one budget. @public */
export interface ReplicaReport {
	readonly billed: Amount
	/** The incarnation cannot have drawn more than this. */
	readonly watermark: Amount
	readonly sent: Amount
	readonly received: Amount
	readonly returned: Amount
}

/**
 * Seals the entry of an incarnation that is gone. Money past the watermark is free again at once,
 * the tranche between bill and watermark stays in doubt.
 * @public
 */
export function sealEntry(row: LedgerBudget, key: string, testimony: ReplicaReport): void {
	const entry = getOrCreateEntry(row, key)
	if (entry.sealed) return
	const returned = Math.max(entry.returned, testimony.returned)
	const held = balanceOf({ ...testimony, granted: entry.granted, returned })
	const billed = Math.max(entry.billed, testimony.billed)
	const drawn = Math.max(billed, Math.min(held, testimony.watermark))
	const free = Math.max(0, held - drawn)
	raiseTransferCounters(entry, testimony.sent, testimony.received)
	entry.billed = billed
	entry.returned = returned + free
	entry.inDoubt = Math.max(0, Math.min(held, drawn) - billed)
	entry.sealed = true
	assertNotOvergranted(row)
	if (entry.inDoubt === 0) closeEntry(row, key)
}

/**
 * Shows the whole unbilled slice of a lost incarnation as in doubt until its witness testifies. The
 * entry stays open even where nothing is in doubt: a testimony may still bring bills.
 * @public
 */
export function markEntryInDoubt(row: LedgerBudget, key: string): void {
	const entry = row.entries[key]
	if (!entry || entry.inDoubt !== undefined) return
	const { granted, returned, sent = 0, received = 0 } = entry
	const held = balanceOf({ granted, returned, sent, received, billed: 0 })
	entry.inDoubt = Math.max(0, held - entry.billed)
}

/** Frees the money in doubt of an incarnation. Only on its own or an operator's word. @public */
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

/** Folds an entry that can change no more into the sum of closed ones. @public */
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

/** Gives free money of the zone up for the shard. Returns the new cumulative amount. @public */
export function returnToShard(row: LedgerBudget, amount: Amount): Amount {
	row.returned += Math.max(0, Math.min(amount, freeInZone(row)))
	assertNotOvergranted(row)
	return row.returned
}
