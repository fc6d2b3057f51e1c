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
import type { EraAnswer, StoreConnection } from './StoreConnection.js'

/** The store names another era than before. @public */
export interface EraChange {
	readonly era: number
	/** 0 before the first answer. */
	readonly before: number
	/** The call whose answer said so. */
	readonly call: string
}

/** Listeners of an {@link EraStore}. @public */
export interface EraStoreOptions {
	/** A newer era has begun. Told once for each, before the answer that said so. */
	readonly onEra: (change: EraChange) => void
	/** Answers that bring something name no era any more, although earlier ones did. Told once. */
	readonly onUnnamed: (call: string) => void
}

const HISTORY_GONE: StoreFault = { kind: 'history-gone' }
const PAST_ERA: StoreFault = { kind: 'past-era' }

/** A value with the era of the answer that brought it. */
interface InEra<T> {
	readonly era: number
	readonly value: T
}

/**
 * The store with its history: gives revisions their era, and keeps what belongs to an era that is over from being
 * taken for something of now. Any answer of any call may tell of a new era; all watches then end at once, so that
 * their followers list anew. An answer that names no era counts as one of the era that is known.
 */
export class EraStore implements KeyValueStore {
	private known = 0
	private isUnnamedTold = false
	/** Wakes the watches when an era ends. */
	private readonly watches = new Set<() => void>()

	constructor(
		private readonly connection: StoreConnection,
		private readonly options: EraStoreOptions,
	) {}

	get era(): number {
		return this.known
	}

	async list(prefix: string): Promise<E.Either<StoreFault, StoreListing>> {
		return this.listIn(prefix, false)
	}

	async listStale(prefix: string): Promise<E.Either<StoreFault, readonly StoreItem[]>> {
		const listing = await this.listIn(prefix, true)
		return E.map(({ items }: StoreListing) => items)(listing)
	}

	async watch(
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<E.Either<StoreFault, readonly StoreChange[]>> {
		if (after.era < this.known) return E.left(HISTORY_GONE)
		const told = await this.untilEraEnds(
			this.ask('watch', this.connection.watch(prefix, after.number, waitMs)),
		)
		if (!told) return E.left(HISTORY_GONE)
		if (E.isLeft(told)) return told
		const { era, value } = told.right
		if (era > after.era) return E.left(HISTORY_GONE)
		// Other boxes know of a newer era than the answer: a store that is behind, or an answer that was long on the way.
		if (era < after.era) return E.left(PAST_ERA)
		return E.right(value.map((change) => changeIn(era, change)))
	}

	async write(
		key: string,
		value: Buffer,
		expected: StoreRevision | undefined,
		lease?: StoreLease,
	): Promise<E.Either<StoreFault, WriteResult>> {
		if (expected && expected.era < this.known) return this.conflict(key)
		const call = this.connection.write(key, value, expected?.number ?? 0, lease)
		const written = await this.ask('write', call)
		if (E.isLeft(written)) return written
		const { era, value: result } = written.right
		if (result.kind === 'conflict') {
			const { current } = result
			return E.right({ kind: 'conflict', current: current && itemIn(era, current) })
		}
		// The number was given out again: the write went over something that its writer never saw.
		if (expected && expected.era !== era) return this.conflict(key)
		return E.right({ kind: 'written', revision: { era, number: result.revision } })
	}

	async lease(ttlMs: number): Promise<E.Either<StoreFault, StoreLease>> {
		const made = await this.ask('lease', this.connection.lease(ttlMs))
		return E.map(({ value }: InEra<StoreLease>) => value)(made)
	}

	read(key: string): Promise<E.Either<StoreFault, StoreItem | undefined>> {
		return this.readIn(key, false)
	}

	readStale(key: string): Promise<E.Either<StoreFault, StoreItem | undefined>> {
		return this.readIn(key, true)
	}

	async ping(): Promise<boolean> {
		return E.isRight(await this.ask('ping', this.connection.ping()))
	}

	private async listIn(
		prefix: string,
		isStale: boolean,
	): Promise<E.Either<StoreFault, StoreListing>> {
		const listed = await this.ask('list', this.connection.list(prefix, isStale))
		return E.map(({ era, value }: InEra<StoreListing<number>>): StoreListing => {
			const items = value.items.map((item) => itemIn(era, item))
			return { items, at: { era, number: value.at } }
		})(listed)
	}

	private async readIn(
		key: string,
		isStale: boolean,
	): Promise<E.Either<StoreFault, StoreItem | undefined>> {
		const read = await this.ask('read', this.connection.read(key, isStale))
		return E.map(({ era, value }: InEra<StoreItem<number> | undefined>) => {
			return value && itemIn(era, value)
		})(read)
	}

	/** What is there now, for a writer whose condition is of an era that is over. */
	private async conflict(key: string): Promise<E.Either<StoreFault, WriteResult>> {
		const current = await this.read(key)
		return E.map((item: StoreItem | undefined): WriteResult => ({
			kind: 'conflict',
			current: item,
		}))(current)
	}

	private async ask<T>(
		call: string,
		answer: Promise<EraAnswer<T>>,
	): Promise<E.Either<StoreFault, InEra<T>>> {
		const { era: named, result } = await answer
		if (named === undefined && E.isRight(result)) this.noteUnnamed(call)
		const era = named ?? this.known
		if (era < this.known) return E.left(PAST_ERA)
		if (era > this.known) this.begin(era, call)
		return E.map((value: T): InEra<T> => ({ era, value }))(result)
	}

	private noteUnnamed(call: string): void {
		if (this.known === 0 || this.isUnnamedTold) return
		this.isUnnamedTold = true
		this.options.onUnnamed(call)
	}

	private begin(era: number, call: string): void {
		const before = this.known
		this.known = era
		this.options.onEra({ era, before, call })
		for (const wake of [...this.watches]) wake()
	}

	/** The answer of a watch; undefined where a newer era begins first: a silent watch would not hear of it. */
	private untilEraEnds<T>(answer: Promise<T>): Promise<T | undefined> {
		return new Promise((resolve) => {
			const wake = (): void => {
				this.watches.delete(wake)
				resolve(undefined)
			}
			this.watches.add(wake)
			void answer.then((told) => {
				this.watches.delete(wake)
				resolve(told)
			})
		})
	}
}

function itemIn(era: number, { key, value, revision }: StoreItem<number>): StoreItem {
	return { key, value, revision: { era, number: revision } }
}

function changeIn(era: number, change: StoreChange<number>): StoreChange {
	if (change.kind === 'written') return { kind: 'written', item: itemIn(era, change.item) }
	return { kind: 'gone', key: change.key, revision: { era, number: change.revision } }
}
