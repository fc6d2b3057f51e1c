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
import { readSpendingLimits } from './allowanceDocuments.js'

export interface SpendingLimitRecordOptions {
	readonly store: KeyValueStore
	/** Store key of the spending limits of this box. */
	readonly key: string
	readonly holder: Incarnation
	/** Monotonic clock, in ms. */
	readonly now: () => number
	/** Wall clock, in ms. */
	readonly wallTime: () => number
	/** Time since this process started, in ms. */
	readonly uptimeMs: () => number
	readonly sleep: (ms: number) => Promise<void>
}

/**
 * Age at which a lease is replaced, in ms. It is less than half of the validity of the spending limits, so that
 * they rarely expire during a short loss of power. Each replacement costs two store calls.
 */
const LEASE_RENEWAL_AGE_MS = 1_200
const MAX_WRITE_ATTEMPTS = 3

/** Reads and writes the spending limits of this box in the store. See {@link SpendingLimits}. */
export class SpendingLimitRecord {
	/** Store revision of the record; undefined if it does not exist. */
	private revision: StoreRevision | undefined
	private lease: StoreLease | undefined
	private leaseGrantedAt = Number.NEGATIVE_INFINITY
	/** Wall-clock time at which the lease was requested, in ms. */
	private leaseRequestedWallTime = 0

	constructor(private readonly options: SpendingLimitRecordOptions) {}

	/** True if the record must be written again even if the spending limits have not changed. */
	get needsRenewal(): boolean {
		return this.options.now() - this.leaseGrantedAt >= LEASE_RENEWAL_AGE_MS
	}

	/** True once a new process of this box can no longer rely on the spending limits. */
	get isExpired(): boolean {
		return this.options.now() >= this.leaseGrantedAt + SPENDING_LIMIT_VALIDITY_MS
	}

	/**
	 * Reads the spending limits of the previous process, once this one has run for {@link MIN_CLAIM_UPTIME_MS}.
	 * Returns undefined if the record is missing or unreadable; all tokens drawn then count as spent.
	 */
	async readPrevious(): Promise<E.Either<StoreFault, SpendingLimits | undefined>> {
		const { uptimeMs, sleep } = this.options
		if (uptimeMs() < MIN_CLAIM_UPTIME_MS) await sleep(MIN_CLAIM_UPTIME_MS - uptimeMs())
		const read = await this.options.store.read(this.options.key)
		if (E.isLeft(read)) return read
		this.adopt(read.right)
		return E.right(read.right ? readSpendingLimits(read.right.value) : undefined)
	}

	/** Discards the lease after the store was restored from a backup, which may lack the record and the lease. */
	onEraChange(): void {
		this.lease = undefined
		this.leaseGrantedAt = Number.NEGATIVE_INFINITY
	}

	/** Writes the spending limits. They are in force once this has succeeded. */
	async write(
		spendingLimits: Readonly<Record<AccountName, number>>,
	): Promise<E.Either<StoreFault, undefined>> {
		for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
			const lease = await this.currentLease()
			if (E.isLeft(lease)) return lease
			const { store, key, holder } = this.options
			const value = encode({
				holder,
				wallTime: this.leaseRequestedWallTime,
				marks: spendingLimits,
				era: store.era,
			})
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
		const requestedAt = this.options.wallTime()
		const granted = await this.options.store.lease(SPENDING_LIMIT_LEASE_MS)
		if (E.isLeft(granted)) return granted
		this.leaseRequestedWallTime = requestedAt
		this.lease = granted.right
		this.leaseGrantedAt = this.options.now()
		return granted
	}

	private adopt(item: StoreItem | undefined): void {
		this.revision = item?.revision
	}
}

function encode(spendingLimits: SpendingLimits): Buffer {
	return Buffer.from(JSON.stringify(spendingLimits))
}
