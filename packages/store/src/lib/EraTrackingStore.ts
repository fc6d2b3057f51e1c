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

/** Start of a new era of the store. @public */
export interface EraChange {
	readonly era: number
	/** 0 before the first response. */
	readonly previousEra: number
	/** Name of the call whose response named the new era. */
	readonly call: string
}

/** Callbacks of an {@link EraTrackingStore}. @public */
export interface EraTrackingStoreOptions {
	/** Called once per new era, before the call that detected it returns. */
	readonly onEraChange: (change: EraChange) => void
	/** Called once if a successful response names no era although earlier ones did. */
	readonly onMissingEra: (call: string) => void
}

const HISTORY_GONE: StoreFault = { kind: 'history-gone' }
const PAST_ERA: StoreFault = { kind: 'past-era' }

/** A value with the era of its response. */
interface ValueInEra<T> {
	readonly era: number
	readonly value: T
}

/**
 * Key-value store that tracks the store's era, which changes when the store is restored from a backup. Adds the era to
 * each revision and rejects responses of past eras. Any response can announce a new era; all watches then end at once, so
 * that their followers list again. A response without an era counts as one of the current era.
 */
export class EraTrackingStore implements KeyValueStore {
	private currentEra = 0
	private isMissingEraReported = false
	/** Callbacks that end the running watches when a new era begins. */
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
		const response = await this.cancelOnNewEra(
			this.checkEra('watch', this.connection.watch(prefix, after.number, waitMs)),
		)
		if (!response) return E.left(HISTORY_GONE)
		if (E.isLeft(response)) return response
		const { era, value } = response.right
		if (era > after.era) return E.left(HISTORY_GONE)
		// A peer announced a newer era than the response names: the store replica lags, or the response was delayed.
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
		// The new era reuses the revision number, so the write replaced an item that the caller has never read.
		if (expected && expected.era !== era) return this.readConflict(key)
		return E.right({ kind: 'written', revision: { era, number: result.revision } })
	}

	async lease(ttlMs: number): Promise<E.Either<StoreFault, StoreLease>> {
		const lease = await this.checkEra('lease', this.connection.lease(ttlMs))
		return E.map(({ value }: ValueInEra<StoreLease>) => value)(lease)
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
		const listing = await this.checkEra('list', this.connection.list(prefix, isStale))
		return E.map(({ era, value }: ValueInEra<StoreListing<number>>): StoreListing => {
			const items = value.items.map((item) => itemInEra(era, item))
			return { items, at: { era, number: value.at } }
		})(listing)
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

	/** Reads the current item for a conditional write whose expected revision is of a past era. */
	private async readConflict(key: string): Promise<E.Either<StoreFault, WriteResult>> {
		const current = await this.read(key)
		return E.map((item: StoreItem | undefined): WriteResult => ({
			kind: 'conflict',
			current: item,
		}))(current)
	}

	private async checkEra<T>(
		call: string,
		pendingResponse: Promise<EraResponse<T>>,
	): Promise<E.Either<StoreFault, ValueInEra<T>>> {
		const { era: responseEra, result } = await pendingResponse
		if (responseEra === undefined && E.isRight(result)) this.reportMissingEra(call)
		const era = responseEra ?? this.currentEra
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
		const previousEra = this.currentEra
		this.currentEra = era
		this.options.onEraChange({ era, previousEra, call })
		for (const cancel of [...this.watchCancellers]) cancel()
	}

	/** Resolves to the response of a watch, or to undefined as soon as a new era begins. */
	private cancelOnNewEra<T>(pendingResponse: Promise<T>): Promise<T | undefined> {
		return new Promise((resolve) => {
			const cancel = (): void => {
				this.watchCancellers.delete(cancel)
				resolve(undefined)
			}
			this.watchCancellers.add(cancel)
			void pendingResponse.then((response) => {
				this.watchCancellers.delete(cancel)
				resolve(response)
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
