import {
	SPENDING_LIMIT_LEASE_MS,
	SPENDING_LIMIT_VALIDITY_MS,
	MIN_CLAIM_UPTIME_MS,
	type AccountName,
	type Incarnation,
	type SpendingLimits,
	type StoreRevision,
} from '@stallwing/core'
import type { KeyValueStore, StoreFault, StoreItem, StoreLease } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { readSpendingMark } from './allowanceDocuments.js'

/** What a {@link SpendingLimitRecord} works with. */
export interface SpendingLimitRecordOptions {
	readonly store: KeyValueStore
	/** Key of the record of this box. */
	readonly key: string
	readonly holder: Incarnation
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Time of day, in ms. */
	readonly wallTime: () => number
	/** Time since this process started, in ms. */
	readonly uptimeMs: () => number
	readonly sleep: (ms: number) => Promise<void>
}

/**
 * Age from which a lease is replaced, in ms: less than half of the promise, so that one that ends soon
 * after a loss of power is rare; each replacement is two calls.
 */
const LEASE_RENEWAL_AGE_MS = 1_200
const MAX_WRITE_ATTEMPTS = 3

/** Keeps the record of this box's spending ceilings in the store. See {@link SpendingLimits}. */
export class SpendingLimitRecord {
	/** Undefined where the record is absent. */
	private revision: StoreRevision | undefined
	private lease: StoreLease | undefined
	private leaseGrantedAt = Number.NEGATIVE_INFINITY
	/** Time of day when the lease was asked for. */
	private leaseRequestedWallTime = 0

	constructor(private readonly options: SpendingLimitRecordOptions) {}

	/** True where the record must be written again soon, even with the same ceilings. */
	get needsRenewal(): boolean {
		return this.options.now() - this.leaseGrantedAt >= LEASE_RENEWAL_AGE_MS
	}

	/** True once no new process of this box can rely on the ceilings any more. */
	get isExpired(): boolean {
		return this.options.now() >= this.leaseGrantedAt + SPENDING_LIMIT_VALIDITY_MS
	}

	/**
	 * Reads what the earlier incarnation promised, once this one has run for long enough. A record that can't be read
	 * promises nothing: all that was drawn then counts as spent.
	 */
	async readPrevious(): Promise<E.Either<StoreFault, SpendingLimits | undefined>> {
		const { uptimeMs: aliveMs, sleep } = this.options
		if (aliveMs() < MIN_CLAIM_UPTIME_MS) await sleep(MIN_CLAIM_UPTIME_MS - aliveMs())
		const read = await this.options.store.read(this.options.key)
		if (E.isLeft(read)) return read
		this.adopt(read.right)
		return E.right(read.right ? readSpendingMark(read.right.value) : undefined)
	}

	/** The store came back from a copy: the record and its lease may be lost. No new process relies on it any more. */
	onEraChange(): void {
		this.lease = undefined
		this.leaseGrantedAt = Number.NEGATIVE_INFINITY
	}

	/** Writes the ceilings. They count once this succeeded. */
	async write(
		marks: Readonly<Record<AccountName, number>>,
	): Promise<E.Either<StoreFault, undefined>> {
		for (let tries = 0; tries < MAX_WRITE_ATTEMPTS; tries++) {
			const lease = await this.currentLease()
			if (E.isLeft(lease)) return lease
			const { store, key, holder } = this.options
			const value = encode({ holder, wallTime: this.leaseRequestedWallTime, marks, era: store.era })
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

	private async currentLease(): Promise<E.Either<StoreFault, StoreLease>> {
		if (this.lease && !this.needsRenewal) return E.right(this.lease)
		const asked = this.options.wallTime()
		const made = await this.options.store.lease(SPENDING_LIMIT_LEASE_MS)
		if (E.isLeft(made)) return made
		this.leaseRequestedWallTime = asked
		this.lease = made.right
		this.leaseGrantedAt = this.options.now()
		return made
	}

	private adopt(item: StoreItem | undefined): void {
		this.revision = item?.revision
	}
}

function encode(mark: SpendingLimits): Buffer {
	return Buffer.from(JSON.stringify(mark))
}
