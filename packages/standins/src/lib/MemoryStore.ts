import {
	EraTrackingStore,
	type EraResponse,
	type KeyValueStore,
	type StoreChange,
	type StoreConnection,
	type StoreFault,
	type StoreItem,
	type StoreLease,
	type StoreListing,
	type WriteResult,
} from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'

/** What happens to one call. */
export type CallFate =
	/** Done and answered. */
	| 'served'
	/** Not done; the store says so. */
	| 'refused'
	/** Not done, no answer. */
	| 'lost'
	/** Done, but the answer is lost. */
	| 'answer-lost'
	/** No answer; done some time later if its condition still holds. */
	| 'late'

/** Clock and fate of calls of a {@link MemoryStore}. @public */
export interface MemoryStoreOptions {
	/** Clock of the store, in ms. Leases run by it. */
	readonly now: () => number
	/** Decides about each call; `caller` is the name given to {@link MemoryStore.connect}. */
	readonly fate?: (caller: string, call: string) => CallFate
	/** Delay of a late write, in ms. */
	readonly lateMs?: () => number
	readonly sleep: (ms: number) => Promise<void>
}

interface HeldItem {
	readonly item: StoreItem<number>
	readonly lease: number
}

interface LoggedChange {
	readonly key: string
	readonly revision: number
	readonly item: StoreItem<number> | undefined
}

/** What a store holds at one moment. @public */
export interface MemoryStoreCopy {
	readonly items: ReadonlyMap<string, HeldItem>
	readonly leases: ReadonlyMap<number, number>
	readonly revision: number
}

const ANSWER_MS = 4
const NO_ANSWER_MS = 400
const POLL_MS = 20

/**
 * Stand-in for the key-value service, in memory: items, conditional writes, leases, watches with a
 * bounded history, and calls that are refused, lost, answered never, or done late.
 * @public
 */
export class MemoryStore {
	private items = new Map<string, HeldItem>()
	private leases = new Map<number, number>()
	private history: LoggedChange[] = []
	private compactedAt = 0
	private revision = 0
	private era = 1
	private nextLease = 1
	/** Calls that arrived, by kind. */
	readonly calls = new Map<string, number>()

	constructor(private readonly options: MemoryStoreOptions) {}

	/** The store as one caller sees it, which learns of eras from the answers that it gets. */
	connect(caller: string): KeyValueStore {
		const ignore = (): void => undefined
		return new EraTrackingStore(this.connection(caller), {
			onEraChange: ignore,
			onMissingEra: ignore,
		})
	}

	/** The calls of one caller as they go over the wire. */
	connection(caller: string): StoreConnection {
		return {
			list: (prefix, isStale) =>
				this.call(caller, isStale ? 'listStale' : 'list', () => this.list(prefix)),
			watch: (prefix, after, waitMs) => this.watch(caller, prefix, after, waitMs),
			write: (key, value, expected, lease) =>
				this.call(caller, 'write', () => this.write(key, value, expected, lease)),
			lease: (ttlMs) => this.call(caller, 'lease', () => this.makeLease(ttlMs)),
			read: (key, isStale) =>
				this.call(caller, isStale ? 'readStale' : 'read', () => E.right(this.item(key))),
			ping: () => this.call(caller, 'ping', () => E.right(undefined)),
		}
	}

	/** Writes as an operator or a target does: at once and without a condition. */
	put(key: string, value: string): number {
		return this.store(key, Buffer.from(value), 0)
	}

	/** Removes as an operator or a target does. */
	remove(key: string): void {
		if (this.items.delete(key)) this.log(key, undefined)
	}

	/** The value of a key, as text. */
	text(key: string): string | undefined {
		return this.item(key)?.value.toString('utf8')
	}

	/** Forgets all history: watches from before get `history-gone`. */
	compact(): void {
		this.history = []
		this.compactedAt = this.revision
	}

	/** A copy of all that the store holds, for {@link restore}. */
	copy(): MemoryStoreCopy {
		return {
			items: new Map(this.items),
			leases: new Map(this.leases),
			revision: this.revision,
		}
	}

	/**
	 * Comes back from a copy: what was written since is gone, leases too. Revisions go back and are given out
	 * again, in a new era; the changes before the copy are no longer told.
	 */
	restore({ items, leases, revision }: MemoryStoreCopy): void {
		this.items = new Map(items)
		this.leases = new Map(leases)
		this.revision = revision
		this.era++
		this.compact()
	}

	private async call<T>(
		caller: string,
		name: string,
		perform: () => E.Either<StoreFault, T>,
	): Promise<EraResponse<T>> {
		this.calls.set(name, (this.calls.get(name) ?? 0) + 1)
		const fate = this.options.fate?.(caller, name) ?? 'served'
		if (fate === 'served' || fate === 'refused') {
			await this.options.sleep(ANSWER_MS)
			const result: E.Either<StoreFault, T> =
				fate === 'served' ? perform() : E.left({ kind: 'refused', status: 503 })
			return { era: this.era, result }
		}
		if (fate === 'answer-lost') perform()
		if (fate === 'late') void this.performLate(perform)
		await this.options.sleep(NO_ANSWER_MS)
		return { era: undefined, result: E.left({ kind: 'no-answer', cause: fate }) }
	}

	private async performLate(perform: () => unknown): Promise<void> {
		await this.options.sleep(this.options.lateMs?.() ?? NO_ANSWER_MS)
		perform()
	}

	private list(prefix: string): E.Either<StoreFault, StoreListing<number>> {
		this.expire()
		const items = [...this.items.values()]
			.map((held) => held.item)
			.filter((item) => item.key.startsWith(prefix))
		return E.right({ items, at: this.revision })
	}

	private async watch(
		caller: string,
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<EraResponse<readonly StoreChange<number>[]>> {
		const until = this.options.now() + waitMs
		for (;;) {
			const seen = await this.call(caller, 'watch', () => this.changes(prefix, after))
			if (E.isLeft(seen.result) || seen.result.right.length > 0) return seen
			if (this.options.now() >= until) return seen
			await this.options.sleep(POLL_MS)
		}
	}

	private changes(
		prefix: string,
		after: number,
	): E.Either<StoreFault, readonly StoreChange<number>[]> {
		this.expire()
		const isKnown = after >= this.compactedAt && after <= this.revision
		if (!isKnown) return E.left({ kind: 'history-gone' })
		const changes = this.history
			.filter((change) => change.revision > after && change.key.startsWith(prefix))
			.map((change): StoreChange<number> =>
				change.item
					? { kind: 'written', item: change.item }
					: { kind: 'gone', key: change.key, revision: change.revision },
			)
		return E.right(changes)
	}

	private write(
		key: string,
		value: Buffer,
		expected: number,
		lease: StoreLease | undefined,
	): E.Either<StoreFault, WriteResult<number>> {
		const current = this.item(key)
		if ((current?.revision ?? 0) !== expected) return E.right({ kind: 'conflict', current })
		if (lease && !this.leases.has(lease.id)) return E.left({ kind: 'refused', status: 404 })
		return E.right({ kind: 'written', revision: this.store(key, value, lease?.id ?? 0) })
	}

	private makeLease(ttlMs: number): E.Either<StoreFault, StoreLease> {
		const id = this.nextLease++
		this.leases.set(id, this.options.now() + ttlMs)
		return E.right({ id })
	}

	private item(key: string): StoreItem<number> | undefined {
		this.expire()
		return this.items.get(key)?.item
	}

	private store(key: string, value: Buffer, lease: number): number {
		const item: StoreItem<number> = { key, value, revision: this.revision + 1 }
		this.items.set(key, { item, lease })
		this.log(key, item)
		return this.revision
	}

	private log(key: string, item: StoreItem<number> | undefined): void {
		this.revision++
		this.history.push({ key, revision: this.revision, item })
	}

	private expire(): void {
		const now = this.options.now()
		for (const [id, until] of this.leases) {
			if (until > now) continue
			this.leases.delete(id)
			for (const [key, held] of this.items) if (held.lease === id) this.remove(key)
		}
	}
}
