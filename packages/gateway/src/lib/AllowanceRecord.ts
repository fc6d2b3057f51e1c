import {
	EMPTY_ALLOWANCE_ROW,
	NO_REVISION,
	brandId,
	describeRevision,
	isNewerRevision,
	maxByAccount,
	mergeLostDraws,
	boxesWithStaleDraws,
	type AllowanceRow,
	type BoxDraws,
	type BoxName,
	type LogEvent,
	type StoreRevision,
} from '@stallwing/core'
import type { KeyValueStore, StoreFault, StoreItem } from '@stallwing/store'
import type { Metrics } from '@stallwing/telemetry'
import * as E from 'fp-ts/lib/Either.js'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { readAllowanceRow } from './allowanceDocuments.js'

/** What an {@link AllowanceRecord} works with. */
export interface AllowanceRecordOptions {
	readonly store: KeyValueStore
	readonly recordKey: string
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Draws of a box that is in no record that was seen. */
const NO_DRAWS: BoxDraws = { holder: brandId(''), address: '', drawn: {}, spent: {}, era: 0 }

/** The shared record of all draws in the store, as this box last saw it. */
export class AllowanceRecord {
	row: AllowanceRow = EMPTY_ALLOWANCE_ROW
	/** Revision at which it was seen; undefined where it is absent. */
	revision: StoreRevision | undefined
	/** The last call of this box was answered. */
	isReachable = false
	/** The record as it was before the store came back from a copy, until all boxes have written since. */
	private rowBeforeRestore: AllowanceRow | undefined
	/** What other boxes told of their draws, since the record may not be read again before it is lost. */
	private readonly replicatedDraws = new Map<BoxName, ReplicatedDraws>()
	private lastSeenAt = Number.NEGATIVE_INFINITY
	private lastFaultAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: AllowanceRecordOptions) {}

	/** Age of what is known, in ms. */
	get ageMs(): number {
		return this.options.now() - this.lastSeenAt
	}

	/** Time since the last call that failed, in ms. */
	get msSinceFault(): number {
		return this.options.now() - this.lastFaultAt
	}

	/** Era of the store. */
	get era(): number {
		return this.options.store.era
	}

	/** Boxes that have not written their draws since the store came back from a copy. */
	get staleBoxes(): readonly BoxName[] {
		return boxesWithStaleDraws(this.row, this.era)
	}

	/** Reads the newest state. */
	async read(): Promise<StoreFault | undefined> {
		const result = await this.options.store.read(this.options.recordKey)
		if (E.isLeft(result)) return this.noteFault(result.left)
		return this.adopt(result.right)
	}

	/** Reads a state that may be seconds old, and is cheap. */
	async refresh(): Promise<StoreFault | undefined> {
		if ((this.revision ?? NO_REVISION).era < this.era) return this.read()
		const result = await this.options.store.readStale(this.options.recordKey)
		if (E.isLeft(result)) return this.noteFault(result.left)
		if (result.right && isNewerRevision(result.right.revision, this.revision ?? NO_REVISION))
			return this.adopt(result.right)
		this.markSeen()
		return undefined
	}

	/** Writes the next state where nobody wrote since; otherwise takes over what is there. */
	async write(next: AllowanceRow): Promise<E.Either<StoreFault, 'written' | 'conflict'>> {
		const value = Buffer.from(JSON.stringify(next))
		const result = await this.options.store.write(this.options.recordKey, value, this.revision)
		if (E.isLeft(result)) return E.left(this.noteFault(result.left))
		if (result.right.kind === 'written') {
			this.row = next
			this.revision = result.right.revision
			this.markSeen()
			return E.right('written')
		}
		const fault = this.adopt(result.right.current)
		return fault ? E.left(fault) : E.right('conflict')
	}

	/** Another box told of draws. False where they are of a history that is over. */
	receiveDraws({ box, revision, raised }: ReplicatedDraws): boolean {
		if (revision.era < this.era) return false
		const before = this.replicatedDraws.get(box)
		const isSameEra = before?.revision.era === revision.era
		const all = isSameEra ? { ...before.raised, ...raised } : raised
		this.replicatedDraws.set(box, { box, revision, raised: all })
		return true
	}

	/** What others told is in the record that was seen. */
	private dropRecordedDraws(seen: StoreRevision): void {
		for (const [box, { revision }] of this.replicatedDraws) {
			if (revision.era === seen.era && !isNewerRevision(revision, seen))
				this.replicatedDraws.delete(box)
		}
	}

	/** The record as it was last seen, with the draws that others told since. */
	private withReplicatedDraws({ era }: StoreRevision): AllowanceRow {
		const boxes: Record<BoxName, BoxDraws> = { ...this.row.boxes }
		for (const { box, raised, revision } of this.replicatedDraws.values()) {
			if (revision.era !== era) continue
			const seen = boxes[box] ?? NO_DRAWS
			boxes[box] = { ...seen, drawn: maxByAccount(seen.drawn, raised) }
		}
		return { ...this.row, boxes }
	}

	/** A call of this box to the store failed. */
	noteFault(fault: StoreFault): StoreFault {
		this.isReachable = false
		this.lastFaultAt = this.options.now()
		this.options.metrics.count('stallwing_draw_faults_total', `kind="${fault.kind}"`)
		this.options.log({
			name: 'allowance-failed',
			fields: { fault: fault.kind, revision: describeRevision(this.revision ?? NO_REVISION) },
		})
		return fault
	}

	private adopt(item: StoreItem | undefined): StoreFault | undefined {
		// What others drew stands nowhere else: without it this box draws nothing, rather than too much.
		const row = item ? readAllowanceRow(item.value) : EMPTY_ALLOWANCE_ROW
		if (!row) return this.noteFault({ kind: 'unreadable', cause: this.options.recordKey })
		const known = this.revision
		this.revision = item?.revision
		if (item) this.dropRecordedDraws(item.revision)
		if (known && known.era < this.era) this.rowBeforeRestore = this.withReplicatedDraws(known)
		this.row = this.rowBeforeRestore ? mergeLostDraws(row, this.rowBeforeRestore, this.era) : row
		if (this.staleBoxes.length === 0) this.rowBeforeRestore = undefined
		this.markSeen()
		return undefined
	}

	private markSeen(): void {
		this.lastSeenAt = this.options.now()
		this.isReachable = true
	}
}
