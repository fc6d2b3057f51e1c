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

/** Outcome of one call. */
export type CallOutcome =
	/** Performed, with a response. */
	| 'served'
	/** Not performed; the response is an error. */
	| 'refused'
	/** Not performed, no response. */
	| 'lost'
	/** Performed, but the response is lost. */
	| 'answer-lost'
	/** No response; performed after a delay, if its condition still holds by then. */
	| 'late'

/** Clock and failure injection of a {@link MemoryStore}. @public */
export interface MemoryStoreOptions {
	/** Clock of the store, in ms, by which leases expire. */
	readonly now: () => number
	/** Returns the outcome of a call; `caller` is the name passed to {@link MemoryStore.connect}. Default: served. */
	readonly outcomeOf?: (caller: string, call: string) => CallOutcome
	/** Returns the delay of a call with outcome `late`, in ms. */
	readonly lateWriteDelayMs?: () => number
	readonly sleep: (ms: number) => Promise<void>
}

interface StoredItem {
	readonly item: StoreItem<number>
	readonly leaseId: number
}

interface ChangeRecord {
	readonly key: string
	readonly revision: number
	readonly item: StoreItem<number> | undefined
}

/** Contents of a {@link MemoryStore} at one point in time. @public */
export interface MemoryStoreSnapshot {
	readonly items: ReadonlyMap<string, StoredItem>
	readonly leases: ReadonlyMap<number, number>
	readonly revision: number
}

const RESPONSE_DELAY_MS = 4
const CALL_TIMEOUT_MS = 400
const POLL_INTERVAL_MS = 20

/**
 * In-memory stand-in for the key-value store: items, conditional writes, leases and watches, with injected failures
 * (see {@link CallOutcome}).
 * @public
 */
export class MemoryStore {
	private items = new Map<string, StoredItem>()
	private leases = new Map<number, number>()
	private history: ChangeRecord[] = []
	private compactedRevision = 0
	private revision = 0
	private era = 1
	private nextLeaseId = 1
	/** Number of calls received, by kind. */
	readonly callCounts = new Map<string, number>()

	constructor(private readonly options: MemoryStoreOptions) {}

	/** Returns a client of the store for one caller, which tracks the era of the responses. */
	connect(caller: string): KeyValueStore {
		const ignore = (): void => undefined
		return new EraTrackingStore(this.connection(caller), {
			onEraChange: ignore,
			onMissingEra: ignore,
		})
	}

	/** Returns the calls of one caller without era tracking. */
	connection(caller: string): StoreConnection {
		return {
			list: (prefix, isStale) =>
				this.simulateCall(caller, isStale ? 'listStale' : 'list', () => this.list(prefix)),
			watch: (prefix, after, waitMs) => this.watch(caller, prefix, after, waitMs),
			write: (key, value, expected, lease) =>
				this.simulateCall(caller, 'write', () => this.write(key, value, expected, lease)),
			lease: (ttlMs) => this.simulateCall(caller, 'lease', () => this.createLease(ttlMs)),
			read: (key, isStale) =>
				this.simulateCall(caller, isStale ? 'readStale' : 'read', () => E.right(this.getItem(key))),
			ping: () => this.simulateCall(caller, 'ping', () => E.right(undefined)),
		}
	}

	/** Writes immediately and unconditionally, as operators and targets do. Returns the revision. */
	put(key: string, value: string): number {
		return this.storeItem(key, Buffer.from(value), 0)
	}

	/** Removes a key immediately and unconditionally, as operators and targets do. */
	remove(key: string): void {
		if (this.items.delete(key)) this.recordChange(key, undefined)
	}

	/** Returns the value of a key as text; undefined if the key is absent. */
	getText(key: string): string | undefined {
		return this.getItem(key)?.value.toString('utf8')
	}

	/** Discards the history: watches from an earlier revision fail with `history-gone`. */
	compact(): void {
		this.history = []
		this.compactedRevision = this.revision
	}

	/** Returns a copy of the contents, for {@link restore}. */
	snapshot(): MemoryStoreSnapshot {
		return {
			items: new Map(this.items),
			leases: new Map(this.leases),
			revision: this.revision,
		}
	}

	/**
	 * Restores the contents from a snapshot in a new era. Later writes and leases are lost, their revision numbers are
	 * assigned again, and the history before the snapshot is discarded.
	 */
	restore({ items, leases, revision }: MemoryStoreSnapshot): void {
		this.items = new Map(items)
		this.leases = new Map(leases)
		this.revision = revision
		this.era++
		this.compact()
	}

	private async simulateCall<T>(
		caller: string,
		name: string,
		perform: () => E.Either<StoreFault, T>,
	): Promise<EraResponse<T>> {
		this.callCounts.set(name, (this.callCounts.get(name) ?? 0) + 1)
		const outcome = this.options.outcomeOf?.(caller, name) ?? 'served'
		if (outcome === 'served' || outcome === 'refused') {
			await this.options.sleep(RESPONSE_DELAY_MS)
			const result: E.Either<StoreFault, T> =
				outcome === 'served' ? perform() : E.left({ kind: 'refused', status: 503 })
			return { era: this.era, result }
		}
		if (outcome === 'answer-lost') perform()
		if (outcome === 'late') void this.performLater(perform)
		await this.options.sleep(CALL_TIMEOUT_MS)
		return { era: undefined, result: E.left({ kind: 'no-answer', cause: outcome }) }
	}

	private async performLater(perform: () => unknown): Promise<void> {
		await this.options.sleep(this.options.lateWriteDelayMs?.() ?? CALL_TIMEOUT_MS)
		perform()
	}

	private list(prefix: string): E.Either<StoreFault, StoreListing<number>> {
		this.expireLeases()
		const items = [...this.items.values()]
			.map((stored) => stored.item)
			.filter((item) => item.key.startsWith(prefix))
		return E.right({ items, at: this.revision })
	}

	private async watch(
		caller: string,
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<EraResponse<readonly StoreChange<number>[]>> {
		const deadline = this.options.now() + waitMs
		for (;;) {
			const response = await this.simulateCall(caller, 'watch', () => this.changes(prefix, after))
			if (E.isLeft(response.result) || response.result.right.length > 0) return response
			if (this.options.now() >= deadline) return response
			await this.options.sleep(POLL_INTERVAL_MS)
		}
	}

	private changes(
		prefix: string,
		after: number,
	): E.Either<StoreFault, readonly StoreChange<number>[]> {
		this.expireLeases()
		const hasHistory = after >= this.compactedRevision && after <= this.revision
		if (!hasHistory) return E.left({ kind: 'history-gone' })
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
		const current = this.getItem(key)
		if ((current?.revision ?? 0) !== expected) return E.right({ kind: 'conflict', current })
		if (lease && !this.leases.has(lease.id)) return E.left({ kind: 'refused', status: 404 })
		return E.right({ kind: 'written', revision: this.storeItem(key, value, lease?.id ?? 0) })
	}

	private createLease(ttlMs: number): E.Either<StoreFault, StoreLease> {
		const id = this.nextLeaseId++
		this.leases.set(id, this.options.now() + ttlMs)
		return E.right({ id })
	}

	private getItem(key: string): StoreItem<number> | undefined {
		this.expireLeases()
		return this.items.get(key)?.item
	}

	private storeItem(key: string, value: Buffer, leaseId: number): number {
		const item: StoreItem<number> = { key, value, revision: this.revision + 1 }
		this.items.set(key, { item, leaseId })
		this.recordChange(key, item)
		return this.revision
	}

	private recordChange(key: string, item: StoreItem<number> | undefined): void {
		this.revision++
		this.history.push({ key, revision: this.revision, item })
	}

	private expireLeases(): void {
		const now = this.options.now()
		for (const [id, expiresAt] of this.leases) {
			if (expiresAt > now) continue
			this.leases.delete(id)
			for (const [key, stored] of this.items) if (stored.leaseId === id) this.remove(key)
		}
	}
}
