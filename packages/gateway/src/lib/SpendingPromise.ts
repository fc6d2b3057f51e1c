import { PROMISE_MS, type AccountName, type Incarnation, type SpendingMark } from '@stallwing/core'
import type { KeyValueStore, StoreFault, StoreItem, StoreLease } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'

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
}

/** Age from which a lease is replaced, in ms. */
const LEASE_AGE_MS = 1_000
const TRIES = 3

/** Keeps the record of this box's spending ceilings in the store. See {@link SpendingMark}. */
export class SpendingPromise {
	private revision = 0
	private lease: StoreLease | undefined
	private leaseAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: SpendingPromiseOptions) {}

	/** True where the record must be written again soon, even with the same ceilings. */
	get isOld(): boolean {
		return this.options.now() - this.leaseAt >= LEASE_AGE_MS
	}

	/** True once no new process of this box can rely on the ceilings any more. */
	get isOver(): boolean {
		return this.options.now() >= this.leaseAt + PROMISE_MS
	}

	/** Reads what the earlier incarnation promised. */
	async readPrevious(): Promise<E.Either<StoreFault, SpendingMark | undefined>> {
		const read = await this.options.store.read(this.options.key)
		if (E.isLeft(read)) return read
		this.adopt(read.right)
		return E.right(read.right ? decode(read.right) : undefined)
	}

	/** Writes the ceilings. They count once this succeeded. */
	async write(
		marks: Readonly<Record<AccountName, number>>,
	): Promise<E.Either<StoreFault, undefined>> {
		for (let tries = 0; tries < TRIES; tries++) {
			const lease = await this.freshLease()
			if (E.isLeft(lease)) return lease
			const { store, key, holder, wallTime } = this.options
			const value = encode({ holder, wallTime: wallTime(), marks })
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
		const made = await this.options.store.lease(PROMISE_MS)
		if (E.isLeft(made)) return made
		this.lease = made.right
		this.leaseAt = this.options.now()
		return made
	}

	private adopt(item: StoreItem | undefined): void {
		this.revision = item?.revision ?? 0
	}
}

function encode(mark: SpendingMark): Buffer {
	return Buffer.from(JSON.stringify(mark))
}

function decode(item: StoreItem): SpendingMark {
	return JSON.parse(item.value.toString('utf8')) as SpendingMark
}
