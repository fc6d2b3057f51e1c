import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { hadWitness, shardKey, zoneKeys } from '../membership/ZoneView.js'
import type { PlatformResult } from '../platform/PlatformOp.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { GrantRow } from '../router/PeerMessage.js'
import type { Amount, Millis } from '../units.js'
import {
	allotToZone,
	emptyShard,
	freeInShard,
	noteZoneCounters,
	setPrepaid,
	unspentInShard,
	wantedInShard,
	zoneAllotment,
	type BudgetShardValue,
} from './BudgetShard.js'
import { EMPTY_COUNTERS, type SliceCounters } from './SliceLedger.js'
import {
	billedInZone,
	doubtEntry,
	emptyZoneLedger,
	entryKey,
	freeInZone,
	giveUpToShard,
	grantToBox,
	inDoubtInZone,
	ledgerBudget,
	noteAllotment,
	noteCounters,
	noteSealed,
	releaseEntry,
	sealEntry,
	splitEntryKey,
	type LedgerBudget,
	type Testimony,
	type ZoneLedgerValue,
} from './ZoneLedger.js'

/** A box's ask, as the keeper gathers it. */
export interface KeeperAsk {
	readonly box: BoxName
	readonly incarnation: Incarnation
	readonly budget: BudgetName
	readonly want: Amount
	readonly need: Amount
	readonly counters: SliceCounters
}

/** A witness's word on one budget of an incarnation that is gone. */
export interface KeeperTestimony {
	readonly box: BoxName
	readonly incarnation: Incarnation
	readonly budget: BudgetName
	readonly testimony: Testimony
}

/** What a shard keeper tells its controller. */
export interface ShardKeeperHooks {
	onGrants(ask: KeeperAsk, row: GrantRow): void
	onRecall(budget: BudgetName, amount: Amount): void
}

interface Loaded<T> {
	value: T
	revision: number
}

interface Shortfall {
	want: Amount
	/** What waiting requests lack. */
	need: Amount
	since: Millis
}

const SHARD_REPORT_MS: Millis = 5_000
/** Beyond its need, a box or zone holds at most this part of an even share of what is unspent. */
const SOFT_PART = 0.8
/** A zone that lacks money asks for this part of its share more, so as not to ask at once again. */
const SPARE_PART = 0.1

type Confession = Omit<KeeperAsk, 'want' | 'need'>

/**
 * One shard of budgets in one zone: group commits of the zone ledger, allotments from the budget
 * shard, recall of idle money. Every write is a compare-and-swap of cumulative counters; what was
 * not confirmed is read again.
 */
export class ShardKeeper {
	private ledger: Loaded<ZoneLedgerValue> | undefined
	private shard: Loaded<BudgetShardValue> | undefined
	private busy = false
	private shardTurn = false
	private watching = false
	private stale = false
	private committedAt: Millis = -Infinity
	private reportedAt: Millis = -Infinity
	private bundleSeen = 0
	private readonly asks = new Map<string, KeeperAsk>()
	private readonly testimonies = new Map<string, KeeperTestimony>()
	private readonly confessions = new Map<string, Confession>()
	private readonly releases = new Set<string>()
	private readonly shortfalls = new Map<BudgetName, Shortfall>()
	/** Budgets of which another zone lacks money. */
	private lacking: BudgetName[] = []
	private reportDue = false
	private viewSeen = 0

	constructor(
		private readonly context: CoreContext,
		readonly number: number,
		private readonly hooks: ShardKeeperHooks,
	) {}

	ask(ask: KeeperAsk): void {
		this.asks.set(`${entryKey(ask.box, ask.incarnation)}/${ask.budget}`, ask)
	}

	testify(row: KeeperTestimony): void {
		this.testimonies.set(`${entryKey(row.box, row.incarnation)}/${row.budget}`, row)
	}

	confess(row: Confession): void {
		this.confessions.set(`${entryKey(row.box, row.incarnation)}/${row.budget}`, row)
	}

	release(box: BoxName, incarnation: Incarnation): void {
		this.releases.add(entryKey(box, incarnation))
	}

	hasTestimony(): boolean {
		return this.testimonies.size > 0
	}

	tick(): void {
		this.watch()
		if (this.busy || this.context.now - this.committedAt < this.context.self.timing.commit) return
		if (!this.hasWork()) return
		this.committedAt = this.context.now
		this.step()
	}

	private hasWork(): boolean {
		if (!this.ledger || !this.shard || this.stale || this.bundleIsNew()) return true
		if (this.context.board.members.view.number !== this.viewSeen) return true
		if (this.asks.size + this.testimonies.size + this.confessions.size > 0) return true
		if (this.releases.size + this.shortfalls.size + this.lacking.length > 0) return true
		return this.reportDue && this.context.now - this.reportedAt >= SHARD_REPORT_MS
	}

	private bundleIsNew(): boolean {
		return (this.context.board.config.index?.bundle.version ?? 0) > this.bundleSeen
	}

	/** True where a keeper with a newer view has written: this one must follow the view first. */
	private isOutdated(): boolean {
		return (this.ledger?.value.view ?? 0) > this.context.board.members.view.number
	}

	/** One platform call at a time: read what is missing, then shard or ledger as needed. */
	private step(): void {
		if (!this.ledger) this.loadLedger()
		else if (this.isOutdated()) this.ledger = undefined
		else if (!this.shard || this.stale) this.loadShard()
		else if (this.bundleIsNew()) this.writePrepaid()
		else this.commit()
	}

	/** Ledger and shard take turns, so that a busy ledger does not hold allotments up. */
	private commit(): void {
		const shardFirst = this.shardTurn
		this.shardTurn = false
		if (shardFirst && this.commitShard()) return
		if (this.commitLedger()) {
			this.shardTurn = true
			return
		}
		if (shardFirst || !this.commitShard()) this.settleShortfalls()
	}

	private loadLedger(): void {
		const key = zoneKeys.ledger(this.context.self.zone, this.number)
		this.read(key, (value, revision) => {
			this.ledger = { value: (value as ZoneLedgerValue | undefined) ?? emptyZoneLedger(), revision }
		})
	}

	private loadShard(): void {
		this.read(shardKey(this.number), (value, revision) => {
			this.stale = false
			this.holdShard((value as BudgetShardValue | undefined) ?? emptyShard(), revision)
		})
	}

	private holdShard(value: BudgetShardValue, revision: number): void {
		this.shard = { value, revision }
		this.lacking = Object.keys(value.budgets).filter((name) => {
			return this.lackElsewhere(name as BudgetName) > 0
		}) as BudgetName[]
	}

	/** Money that other zones lack and the shard does not have. */
	private lackElsewhere(name: BudgetName): Amount {
		const budget = this.shard?.value.budgets[name]
		const own = budget?.zones[this.context.self.zone]
		if (!budget || !own) return 0
		return wantedInShard(budget) - own.wanted - freeInShard(budget)
	}

	private read(key: string, onValue: (value: unknown, revision: number) => void): void {
		this.busy = true
		this.context.callPlatform({ kind: 'get', key }, (result) => {
			this.busy = false
			if (result.kind === 'value') onValue(result.value, result.revision)
			if (result.kind === 'absent') onValue(undefined, 0)
			if (result.kind === 'value' || result.kind === 'absent') this.committedAt = -Infinity
		})
	}

	private swap(
		key: string,
		expected: number,
		value: unknown,
		onWritten: (revision: number) => void,
	): void {
		this.busy = true
		this.context.callPlatform({ kind: 'cas', key, expected, value }, (result) => {
			this.busy = false
			if (result.kind === 'written') onWritten(result.revision)
			else this.forget(result)
		})
	}

	/** After a conflict or a lost answer the values are read again. */
	private forget(result: PlatformResult): void {
		if (result.kind === 'refused') return
		this.ledger = undefined
		this.shard = undefined
	}

	/** Takes the prepaid amounts of a new bundle into the shard. */
	private writePrepaid(): void {
		const index = this.context.board.config.index
		if (!this.shard || !index) return
		const { version, budgets } = index.bundle
		const value = structuredClone(this.shard.value)
		for (const budget of budgets) {
			if (index.shardOf(budget.name) !== this.number) continue
			setPrepaid(value, budget.name, budget.prepaid, version)
		}
		if (JSON.stringify(value) === JSON.stringify(this.shard.value)) {
			this.bundleSeen = version
			return
		}
		this.writeShard(value, () => {
			this.bundleSeen = version
		})
	}

	private writeShard(value: BudgetShardValue, then: () => void): void {
		this.swap(shardKey(this.number), this.shard?.revision ?? 0, value, (revision) => {
			this.holdShard(value, revision)
			this.context.log('shard-written', { shard: this.number, revision })
			then()
		})
	}

	/** Group commit of everything that the boxes and witnesses said. False where nothing changed. */
	private commitLedger(): boolean {
		if (!this.ledger || !this.shard) return false
		const value = structuredClone(this.ledger.value)
		const asks = [...this.asks.values()]
		const testimonies = [...this.testimonies.entries()]
		const confessions = [...this.confessions.entries()]
		const releases = [...this.releases]
		this.noteAllotments(value)
		this.applyTestimonies(value, testimonies)
		for (const [, row] of confessions) this.applyConfession(value, row)
		for (const key of releases) this.applyRelease(value, key)
		this.doubtLost(value)
		const rows = asks.map((ask) => this.applyAsk(value, ask))
		this.giveToOtherZones(value)
		const done = (): void => {
			for (const [key, row] of testimonies) dropSame(this.testimonies, key, row)
			for (const [key, row] of confessions) this.endConfession(key, row)
			for (const key of releases) this.releases.delete(key)
			asks.forEach((ask, i) => this.answer(ask, rows[i]))
		}
		if (JSON.stringify(value) === JSON.stringify(this.ledger.value)) {
			done()
			return false
		}
		value.view = this.context.board.members.view.number
		const key = zoneKeys.ledger(this.context.self.zone, this.number)
		this.swap(key, this.ledger.revision, value, (revision) => {
			this.ledger = { value, revision }
			this.reportDue = true
			this.context.log('ledger-written', { shard: this.number, revision, asks: asks.length })
			done()
		})
		return true
	}

	private noteAllotments(value: ZoneLedgerValue): void {
		const zone = this.context.self.zone
		for (const [name, budget] of Object.entries(this.shard?.value.budgets ?? {})) {
			const row = budget.zones[zone]
			if (row) noteAllotment(ledgerBudget(value, name as BudgetName), row.allotted)
		}
	}

	/**
	 * Seals every incarnation that a witness has testified of. An incarnation may hold money without
	 * an entry here, if all of it came from neighbours; so a missing entry is opened.
	 */
	private applyTestimonies(
		value: ZoneLedgerValue,
		testimonies: readonly [string, KeeperTestimony][],
	): void {
		const fresh = new Set<string>()
		for (const [, row] of testimonies) {
			const key = entryKey(row.box, row.incarnation)
			if (value.sealed.includes(key)) continue
			fresh.add(key)
			const budget = ledgerBudget(value, row.budget)
			sealEntry(budget, key, row.testimony)
			const inDoubt = budget.entries[key]?.inDoubt ?? 0
			const { billed } = row.testimony
			this.context.log('slice-in-doubt', { budget: row.budget, entry: key, inDoubt, billed })
		}
		for (const key of fresh) noteSealed(value, key)
	}

	/** A fenced incarnation drew no more than its bills. Waits until its witness has testified. */
	private applyConfession(value: ZoneLedgerValue, row: Confession): void {
		const key = entryKey(row.box, row.incarnation)
		const budget = ledgerBudget(value, row.budget)
		const entry = budget.entries[key]
		if (entry?.unwitnessed) entry.billed = Math.max(entry.billed, row.counters.billed)
		else if (!entry?.sealed) return
		releaseEntry(budget, key)
		this.context.log('doubt-released', { budget: row.budget, entry: key, by: 'incarnation' })
	}

	/** Keeps a confession until its entry is closed. */
	private endConfession(key: string, row: Confession): void {
		const entries = this.ledger?.value.budgets[row.budget]?.entries ?? {}
		if (!entries[entryKey(row.box, row.incarnation)]) dropSame(this.confessions, key, row)
	}

	/** True while a confession of this incarnation waits. */
	hasConfession(box: BoxName, incarnation: Incarnation): boolean {
		const prefix = `${entryKey(box, incarnation)}/`
		return [...this.confessions.keys()].some((key) => key.startsWith(prefix))
	}

	private applyRelease(value: ZoneLedgerValue, key: string): void {
		noteSealed(value, key)
		for (const [name, budget] of Object.entries(value.budgets)) {
			doubtEntry(budget, key)
			const amount = releaseEntry(budget, key)
			if (amount > 0)
				this.context.log('doubt-released', { budget: name, entry: key, amount, by: 'operator' })
		}
	}

	/** Shows the slices of incarnations that are no members and had no witness as in doubt. */
	private doubtLost(value: ZoneLedgerValue): void {
		const { view } = this.context.board.members
		if (view.number === this.viewSeen) return
		this.viewSeen = view.number
		const alive = new Set(view.members.map((entry) => entryKey(entry.box, entry.incarnation)))
		for (const budget of Object.values(value.budgets)) {
			for (const [key, entry] of Object.entries(budget.entries)) {
				if (alive.has(key)) continue
				doubtEntry(budget, key)
				const { box, incarnation } = splitEntryKey(key)
				if (!entry.sealed && !hadWitness(view, box, incarnation)) entry.unwitnessed = true
			}
		}
	}

	private applyAsk(value: ZoneLedgerValue, ask: KeeperAsk): GrantRow {
		const key = entryKey(ask.box, ask.incarnation)
		const row = ledgerBudget(value, ask.budget)
		const known = row.entries[key]
		if (known?.inDoubt !== undefined || !this.isMember(ask)) {
			return { budget: ask.budget, granted: 0, returned: 0, billed: 0, dry: true }
		}
		noteCounters(row, key, ask.counters)
		const given = ask.want > 0 ? grantToBox(row, key, this.fairWant(ask, row)) : 0
		const entry = row.entries[key]
		if (given < ask.want) this.noteShortfall(ask, ask.want - given, Math.max(0, ask.need - given))
		const { granted, returned, billed } = entry ?? { granted: 0, returned: 0, billed: 0 }
		return { budget: ask.budget, granted, returned, billed, dry: false }
	}

	/** What waiting requests lack in full, and of the rest no more than an even share. */
	private fairWant(ask: KeeperAsk, row: LedgerBudget): Amount {
		const boxes = Math.max(1, this.context.board.members.view.members.length)
		const unspent = row.allotted - row.returned - billedInZone(row)
		const entry = row.entries[entryKey(ask.box, ask.incarnation)]
		const holds = entry ? entry.granted - entry.returned - entry.billed : 0
		return ask.need + softShare(ask.want - ask.need, unspent / boxes, holds + ask.need)
	}

	private isMember(ask: KeeperAsk): boolean {
		const { members } = this.context.board.members.view
		const own = { box: this.context.self.box, incarnation: this.context.self.incarnation }
		return [...members, own].some((member) => {
			return member.box === ask.box && member.incarnation === ask.incarnation
		})
	}

	private noteShortfall(ask: KeeperAsk, want: Amount, need: Amount): void {
		const known = this.shortfalls.get(ask.budget)
		this.shortfalls.set(ask.budget, {
			want: Math.max(want, known?.want ?? 0),
			need: Math.max(need, known?.need ?? 0),
			since: known?.since ?? this.context.now,
		})
	}

	/** Answers an ask once it is durable. An ask that was not filled stays until it is, or is dry. */
	private answer(ask: KeeperAsk, row: GrantRow | undefined): void {
		const key = `${entryKey(ask.box, ask.incarnation)}/${ask.budget}`
		if (this.asks.get(key) === ask) this.asks.delete(key)
		if (row) this.hooks.onGrants(ask, row)
	}

	/** Allots money for the shortfalls, and reports the zone's counters. */
	private commitShard(): boolean {
		if (!this.shard || !this.ledger) return false
		const report = this.reportDue && this.context.now - this.reportedAt >= SHARD_REPORT_MS
		if (this.shortfalls.size === 0 && !report && !this.owesReturns()) return false
		const value = structuredClone(this.shard.value)
		const zone = this.context.self.zone
		for (const [name, row] of Object.entries(this.ledger.value.budgets)) {
			const budget = value.budgets[name]
			if (budget) noteZoneCounters(budget, zone, this.zoneCounters(row))
		}
		for (const [name, short] of this.shortfalls) this.allot(value, name, short)
		this.forgetWants(value)
		if (JSON.stringify(value) === JSON.stringify(this.shard.value)) return false
		this.writeShard(value, () => {
			this.reportedAt = this.context.now
			this.reportDue = false
			this.committedAt = -Infinity
		})
		return true
	}

	private allot(value: BudgetShardValue, name: BudgetName, short: Shortfall): void {
		const budget = value.budgets[name]
		if (!budget) return
		const zones = this.context.board.config.index?.zones.length ?? 1
		const row = zoneAllotment(budget, this.context.self.zone)
		const share = unspentInShard(budget) / zones
		const holds = row.allotted - row.returned - row.billed
		const soft = softShare(short.want - short.need, share, holds + short.need)
		const given = allotToZone(budget, this.context.self.zone, short.need + soft)
		const spare = softShare(short.want - short.need, share * SPARE_PART, 0)
		row.wanted = given < short.need ? short.need - given + spare : 0
	}

	private zoneCounters(row: LedgerBudget): { returned: Amount; billed: Amount; inDoubt: Amount } {
		return {
			returned: row.returned,
			billed: billedInZone(row),
			inDoubt: inDoubtInZone(row),
		}
	}

	private owesReturns(): boolean {
		const zone = this.context.self.zone
		return Object.entries(this.ledger?.value.budgets ?? {}).some(([name, row]) => {
			const noted = this.shard?.value.budgets[name]?.zones[zone]?.returned ?? 0
			return row.returned > noted
		})
	}

	/** Takes back a want that no box has any more. */
	private forgetWants(value: BudgetShardValue): void {
		const zone = this.context.self.zone
		for (const [name, budget] of Object.entries(value.budgets)) {
			const row = budget.zones[zone]
			if (row && row.wanted > 0 && !this.shortfalls.has(name as BudgetName)) row.wanted = 0
		}
	}

	/** Gives money that no box here holds to zones that lack it. */
	private giveToOtherZones(value: ZoneLedgerValue): void {
		for (const name of this.lacking) {
			if (this.shortfalls.has(name)) continue
			const row = ledgerBudget(value, name)
			giveUpToShard(row, this.lackElsewhere(name))
			const missing = this.lackElsewhere(name) - freeInZone(row)
			if (missing > 0) this.hooks.onRecall(name, missing)
		}
	}

	/** Recalls idle money inside the zone; after a while the word is that the budget is dry. */
	private settleShortfalls(): void {
		const { recallWait } = this.context.self.timing
		for (const [budget, short] of this.shortfalls) {
			const row = this.ledger?.value.budgets[budget]
			const age = this.context.now - short.since
			if (short.need === 0 || (row && freeInZone(row) > 0)) this.shortfalls.delete(budget)
			else if (age < recallWait) this.hooks.onRecall(budget, short.need)
			else this.callDry(budget)
		}
	}

	private callDry(budget: BudgetName): void {
		for (const [key, entry] of Object.entries(this.ledger?.value.budgets[budget]?.entries ?? {})) {
			const ask = { ...splitEntryKey(key), budget, want: 0, need: 0, counters: EMPTY_COUNTERS }
			const { granted, returned, billed } = entry
			if (entry.inDoubt === undefined)
				this.hooks.onGrants(ask, { budget, granted, returned, billed, dry: true })
		}
		this.shortfalls.delete(budget)
	}

	private watch(): void {
		if (this.watching || !this.shard || this.busy) return
		this.watching = true
		const timeoutMs = this.context.self.timing.watch
		const op = {
			kind: 'watch',
			key: shardKey(this.number),
			after: this.shard.revision,
			timeoutMs,
		} as const
		this.context.callPlatform(op, (result) => {
			this.watching = false
			if (result.kind === 'value' && result.revision > (this.shard?.revision ?? 0))
				this.stale = true
		})
	}
}

function dropSame<T>(map: Map<string, T>, key: string, row: T): void {
	if (map.get(key) === row) map.delete(key)
}

/** The part of a want without a waiting request that may be taken beside what is held already. */
function softShare(want: Amount, share: Amount, holds: Amount): Amount {
	return Math.max(0, Math.min(want, Math.floor(share * SOFT_PART) - holds))
}
