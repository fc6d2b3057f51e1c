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
export type CallOutcome =
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
	readonly outcomeOf?: (caller: string, call: string) => CallOutcome
	/** Delay of a late write, in ms. */
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

/** What a store holds at one moment. @public */
export interface MemoryStoreSnapshot {
	readonly items: ReadonlyMap<string, StoredItem>
	readonly leases: ReadonlyMap<number, number>
	readonly revision: number
}

const RESPONSE_DELAY_MS = 4
const CALL_TIMEOUT_MS = 400
const POLL_INTERVAL_MS = 20

/**
 * Stand-in for the key-value service, in memory: items, conditional writes, leases, watches with a
 * bounded history, and calls that are refused, lost, answered never, or done late.
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
	/** Calls that arrived, by kind. */
	readonly callCounts = new Map<string, number>()

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
				this.simulateCall(caller, isStale ? 'listStale' : 'list', () => this.list(prefix)),
			watch: (prefix, after, waitMs) => this.watch(caller, prefix, after, waitMs),
			write: (key, value, expected, lease) =>
				this.simulateCall(caller, 'write', () => this.write(key, value, expected, lease)),
			lease: (ttlMs) => this.simulateCall(caller, 'lease', () => this.createLease(ttlMs)),
			read: (key, isStale) =>
				this.simulateCall(caller, isStale ? 'readStale' : 'read', () => E.right(this.item(key))),
			ping: () => this.simulateCall(caller, 'ping', () => E.right(undefined)),
		}
	}

	/** Writes as an operator or a target does: at once and without a condition. */
	put(key: string, value: string): number {
		return this.storeItem(key, Buffer.from(value), 0)
	}

	/** Removes as an operator or a target does. */
	remove(key: string): void {
		if (this.items.delete(key)) this.recordChange(key, undefined)
	}

	/** The value of a key, as text. */
	getText(key: string): string | undefined {
		return this.item(key)?.value.toString('utf8')
	}

	/** Forgets all history: watches from before get `history-gone`. */
	compact(): void {
		this.history = []
		this.compactedRevision = this.revision
	}

	/** A copy of all that the store holds, for {@link restore}. */
	snapshot(): MemoryStoreSnapshot {
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
		const fate = this.options.outcomeOf?.(caller, name) ?? 'served'
		if (fate === 'served' || fate === 'refused') {
			await this.options.sleep(RESPONSE_DELAY_MS)
			const result: E.Either<StoreFault, T> =
				fate === 'served' ? perform() : E.left({ kind: 'refused', status: 503 })
			return { era: this.era, result }
		}
		if (fate === 'answer-lost') perform()
		if (fate === 'late') void this.performLater(perform)
		await this.options.sleep(CALL_TIMEOUT_MS)
		return { era: undefined, result: E.left({ kind: 'no-answer', cause: fate }) }
	}

	private async performLater(perform: () => unknown): Promise<void> {
		await this.options.sleep(this.options.lateWriteDelayMs?.() ?? CALL_TIMEOUT_MS)
		perform()
	}

	private list(prefix: string): E.Either<StoreFault, StoreListing<number>> {
		this.expireLeases()
		const items = [...this.items.values()]
			.map((held) => held.item)
			.filter((getItem) => getItem.key.startsWith(prefix))
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
			const seen = await this.simulateCall(caller, 'watch', () => this.changes(prefix, after))
			if (E.isLeft(seen.result) || seen.result.right.length > 0) return seen
			if (this.options.now() >= until) return seen
			await this.options.sleep(POLL_INTERVAL_MS)
		}
	}

	private changes(
		prefix: string,
		after: number,
	): E.Either<StoreFault, readonly StoreChange<number>[]> {
		this.expireLeases()
		const isKnown = after >= this.compactedRevision && after <= this.revision
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
		return E.right({ kind: 'written', revision: this.storeItem(key, value, lease?.id ?? 0) })
	}

	private createLease(ttlMs: number): E.Either<StoreFault, StoreLease> {
		const id = this.nextLeaseId++
		this.leases.set(id, this.options.now() + ttlMs)
		return E.right({ id })
	}

	private item(key: string): StoreItem<number> | undefined {
		this.expireLeases()
		return this.items.get(key)?.item
	}

	private storeItem(key: string, value: Buffer, lease: number): number {
		const item: StoreItem<number> = { key, value, revision: this.revision + 1 }
		this.items.set(key, { item, leaseId: lease })
		this.recordChange(key, item)
		return this.revision
	}

	private recordChange(key: string, item: StoreItem<number> | undefined): void {
		this.revision++
		this.history.push({ key, revision: this.revision, item })
	}

	private expireLeases(): void {
		const now = this.options.now()
		for (const [id, until] of this.leases) {
			if (until > now) continue
			this.leases.delete(id)
			for (const [key, held] of this.items) if (held.leaseId === id) this.remove(key)
		}
	}
}
