import {
	MARK_LEASE_MS,
	PROMISE_MS,
	START_PROOF_MS,
	type AccountName,
	type Incarnation,
	type SpendingMark,
	type StoreRevision,
} from '@stallwing/core'
import type { KeyValueStore, StoreFault, StoreItem, StoreLease } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { readSpendingMark } from './moneyDocuments.js'

/** What a {@link SpendingPromise} works with. */
export interface SpendingPromiseOptions {
	readonly store: KeyValueStore
	/** Key of the record of this box. */
	readonly key: string
	readonly holder: Incarnation
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Time of day, in ms. */
	readonly wallTime: () => number
	/** Time since this process started, in ms. */
	readonly aliveMs: () => number
	readonly sleep: (ms: number) => Promise<void>
}

/**
 * Age from which a lease is replaced, in ms: less than half of the promise, so that one that ends soon
 * after a loss of power is rare; each replacement is two calls.
 */
const LEASE_AGE_MS = 1_200
const TRIES = 3

/** Keeps the record of this box's spending ceilings in the store. See {@link SpendingMark}. */
export class SpendingPromise {
	/** Undefined where the record is absent. */
	private revision: StoreRevision | undefined
	private lease: StoreLease | undefined
	private leaseAt = Number.NEGATIVE_INFINITY
	/** Time of day when the lease was asked for. */
	private leaseWallTime = 0

	constructor(private readonly options: SpendingPromiseOptions) {}

	/** True where the record must be written again soon, even with the same ceilings. */
	get isOld(): boolean {
		return this.options.now() - this.leaseAt >= LEASE_AGE_MS
	}

	/** True once no new process of this box can rely on the ceilings any more. */
	get isOver(): boolean {
		return this.options.now() >= this.leaseAt + PROMISE_MS
	}

	/**
	 * Reads what the earlier incarnation promised, once this one has run for long enough. A record that can't be read
	 * promises nothing: all that was drawn then counts as spent.
	 */
	async readPrevious(): Promise<E.Either<StoreFault, SpendingMark | undefined>> {
		const { aliveMs, sleep } = this.options
		if (aliveMs() < START_PROOF_MS) await sleep(START_PROOF_MS - aliveMs())
		const read = await this.options.store.read(this.options.key)
		if (E.isLeft(read)) return read
		this.adopt(read.right)
		return E.right(read.right ? readSpendingMark(read.right.value) : undefined)
	}

	/** The store came back from a copy: the record and its lease may be lost. No new process relies on it any more. */
	noteEra(): void {
		this.lease = undefined
		this.leaseAt = Number.NEGATIVE_INFINITY
	}

	/** Writes the ceilings. They count once this succeeded. */
	async write(
		marks: Readonly<Record<AccountName, number>>,
	): Promise<E.Either<StoreFault, undefined>> {
		for (let tries = 0; tries < TRIES; tries++) {
			const lease = await this.freshLease()
			if (E.isLeft(lease)) return lease
			const { store, key, holder } = this.options
			const value = encode({ holder, wallTime: this.leaseWallTime, marks, era: store.era })
			const result = await store.write(key, value, this.revision, lease.right)
			if (E.isLeft(result)) {
				this.lease = undefined
				return result
			}
			if (result.right.kind === 'written') {
				this.revision = result.right.revision
				return E.right(undefined)
			}
			this.adopt(result.right.current)
		}
		return E.left({ kind: 'refused', status: 412 })
	}

	private async freshLease(): Promise<E.Either<StoreFault, StoreLease>> {
		if (this.lease && !this.isOld) return E.right(this.lease)
		const asked = this.options.wallTime()
		const made = await this.options.store.lease(MARK_LEASE_MS)
		if (E.isLeft(made)) return made
		this.leaseWallTime = asked
		this.lease = made.right
		this.leaseAt = this.options.now()
		return made
	}

	private adopt(item: StoreItem | undefined): void {
		this.revision = item?.revision
	}
}

function encode(mark: SpendingMark): Buffer {
	return Buffer.from(JSON.stringify(mark))
}
