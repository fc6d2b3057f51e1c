import type { StoreRevision } from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import type {
	KeyValueStore,
	StoreChange,
	StoreFault,
	StoreItem,
	StoreLease,
	StoreListing,
	WriteResult,
} from './KeyValueStore.js'
import type { EraResponse, StoreConnection } from './StoreConnection.js'

/** The store names another era than before. @public */
export interface EraChange {
	readonly era: number
	/** 0 before the first answer. */
	readonly previousEra: number
	/** The call whose answer said so. */
	readonly call: string
}

/** Listeners of an {@link EraTrackingStore}. @public */
export interface EraTrackingStoreOptions {
	/** A newer era has begun. Told once for each, before the answer that said so. */
	readonly onEraChange: (change: EraChange) => void
	/** Answers that bring something name no era any more, although earlier ones did. Told once. */
	readonly onMissingEra: (call: string) => void
}

const HISTORY_GONE: StoreFault = { kind: 'history-gone' }
const PAST_ERA: StoreFault = { kind: 'past-era' }

/** A value with the era of the answer that brought it. */
interface ValueInEra<T> {
	readonly era: number
	readonly value: T
}

/**
 * The store with its history: gives revisions their era, and keeps what belongs to an era that is over from being
 * taken for something of now. Any answer of any call may tell of a new era; all watches then end at once, so that
 * their followers list anew. An answer that names no era counts as one of the era that is known.
 */
export class EraTrackingStore implements KeyValueStore {
	private currentEra = 0
	private isMissingEraReported = false
	/** Wakes the watches when an era ends. */
	private readonly watchCancellers = new Set<() => void>()

	constructor(
		private readonly connection: StoreConnection,
		private readonly options: EraTrackingStoreOptions,
	) {}

	get era(): number {
		return this.currentEra
	}

	async list(prefix: string): Promise<E.Either<StoreFault, StoreListing>> {
		return this.listItems(prefix, false)
	}

	async listStale(prefix: string): Promise<E.Either<StoreFault, readonly StoreItem[]>> {
		const listing = await this.listItems(prefix, true)
		return E.map(({ items }: StoreListing) => items)(listing)
	}

	async watch(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		if (after.era < this.currentEra) return E.left(HISTORY_GONE)
		const told = await this.cancelOnNewEra(
			this.checkEra('watch', this.connection.watch(prefix, after.number, waitMs)),
		)
		if (!told) return E.left(HISTORY_GONE)
		if (E.isLeft(told)) return told
		const { era, value } = told.right
		if (era > after.era) return E.left(HISTORY_GONE)
		// Other boxes know of a newer era than the answer: a store that is behind, or an answer that was long on the way.
		if (era < after.era) return E.left(PAST_ERA)
		return E.right(value.map((change) => changeInEra(era, change)))
	}

	async write(
		key: string,
		value: Buffer,
		expected: StoreRevision | undefined,
		lease?: StoreLease,
	): Promise<E.Either<StoreFault, WriteResult>> {
		if (expected && expected.era < this.currentEra) return this.readConflict(key)
		const call = this.connection.write(key, value, expected?.number ?? 0, lease)
		const written = await this.checkEra('write', call)
		if (E.isLeft(written)) return written
		const { era, value: result } = written.right
		if (result.kind === 'conflict') {
			const { current } = result
			return E.right({ kind: 'conflict', current: current && itemInEra(era, current) })
		}
		// The number was given out again: the write went over something that its writer never saw.
		if (expected && expected.era !== era) return this.readConflict(key)
		return E.right({ kind: 'written', revision: { era, number: result.revision } })
	}

	async lease(ttlMs: number): Promise<E.Either<StoreFault, StoreLease>> {
		const made = await this.checkEra('lease', this.connection.lease(ttlMs))
		return E.map(({ value }: ValueInEra<StoreLease>) => value)(made)
	}

	read(key: string): Promise<E.Either<StoreFault, StoreItem | undefined>> {
		return this.readItem(key, false)
	}

	readStale(key: string): Promise<E.Either<StoreFault, StoreItem | undefined>> {
		return this.readItem(key, true)
	}

	async ping(): Promise<boolean> {
		return E.isRight(await this.checkEra('ping', this.connection.ping()))
	}

	private async listItems(
		prefix: string,
		isStale: boolean,
	): Promise<E.Either<StoreFault, StoreListing>> {
		const listed = await this.checkEra('list', this.connection.list(prefix, isStale))
		return E.map(({ era, value }: ValueInEra<StoreListing<number>>): StoreListing => {
			const items = value.items.map((item) => itemInEra(era, item))
			return { items, at: { era, number: value.at } }
		})(listed)
	}

	private async readItem(
		key: string,
		isStale: boolean,
	): Promise<E.Either<StoreFault, StoreItem | undefined>> {
		const read = await this.checkEra('read', this.connection.read(key, isStale))
		return E.map(({ era, value }: ValueInEra<StoreItem<number> | undefined>) => {
			return value && itemInEra(era, value)
		})(read)
	}

	/** What is there now, for a writer whose condition is of an era that is over. */
	private async readConflict(key: string): Promise<E.Either<StoreFault, WriteResult>> {
		const current = await this.read(key)
		return E.map((item: StoreItem | undefined): WriteResult => ({
			kind: 'conflict',
			current: item,
		}))(current)
	}

	private async checkEra<T>(
		call: string,
		answer: Promise<EraResponse<T>>,
	): Promise<E.Either<StoreFault, ValueInEra<T>>> {
		const { era: named, result } = await answer
		if (named === undefined && E.isRight(result)) this.reportMissingEra(call)
		const era = named ?? this.currentEra
		if (era < this.currentEra) return E.left(PAST_ERA)
		if (era > this.currentEra) this.beginEra(era, call)
		return E.map((value: T): ValueInEra<T> => ({ era, value }))(result)
	}

	private reportMissingEra(call: string): void {
		if (this.currentEra === 0 || this.isMissingEraReported) return
		this.isMissingEraReported = true
		this.options.onMissingEra(call)
	}

	private beginEra(era: number, call: string): void {
		const before = this.currentEra
		this.currentEra = era
		this.options.onEraChange({ era, previousEra: before, call })
		for (const wake of [...this.watchCancellers]) wake()
	}

	/** The answer of a watch; undefined where a newer era begins first: a silent watch would not hear of it. */
	private cancelOnNewEra<T>(answer: Promise<T>): Promise<T | undefined> {
		return new Promise((resolve) => {
			const wake = (): void => {
				this.watchCancellers.delete(wake)
				resolve(undefined)
			}
			this.watchCancellers.add(wake)
			void answer.then((told) => {
				this.watchCancellers.delete(wake)
				resolve(told)
			})
		})
	}
}

function itemInEra(era: number, { key, value, revision }: StoreItem<number>): StoreItem {
	return { key, value, revision: { era, number: revision } }
}

function changeInEra(era: number, change: StoreChange<number>): StoreChange {
	if (change.kind === 'written') return { kind: 'written', item: itemInEra(era, change.item) }
	return { kind: 'gone', key: change.key, revision: { era, number: change.revision } }
}
