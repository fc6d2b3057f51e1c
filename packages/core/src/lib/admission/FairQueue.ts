import type { Millis } from '../units.js'
import { ItemList } from './ItemList.js'

/** Something that waits in a {@link FairQueue}. */
export interface FairQueueItem {
	readonly account: string
	readonly workMs: Millis
	/** Goes before the other items of its account. */
	readonly isReturning: boolean
}

/** The waiting items of one account. */
interface Flow<Item> {
	readonly returning: ItemList<Item>
	readonly others: ItemList<Item>
	workMs: Millis
	/** As of the last added item: weights change slowly, and each decision compares all flows. */
	weight: number
	/** Virtual time at which the next item of the account starts. */
	startTag: number
}

/**
 * Start-time fair queueing over accounts: each account with waiting items gets work in proportion to its weight. An
 * account that was idle does not make up for that time.
 */
export class FairQueue<Item extends FairQueueItem> {
	private readonly flows = new Map<string, Flow<Item>>()
	/** Tags of accounts without waiting items, kept until the virtual time has passed them. */
	private readonly idleTags = new Map<string, number>()
	private virtualTime = 0
	private itemCount = 0
	private totalWorkMs: Millis = 0

	constructor(private readonly weightOf: (account: string) => number) {}

	get size(): number {
		return this.itemCount
	}

	get workMs(): Millis {
		return this.totalWorkMs
	}

	add(item: Item): void {
		const flow = this.flowOf(item.account)
		flow.weight = this.weightOf(item.account)
		const items = item.isReturning ? flow.returning : flow.others
		items.add(item)
		flow.workMs += item.workMs
		this.totalWorkMs += item.workMs
		this.itemCount++
	}

	/** Removes an item that is not served. Returns false if it does not wait. */
	remove(item: Item): boolean {
		const flow = this.flows.get(item.account)
		if (!flow) return false
		const items = item.isReturning ? flow.returning : flow.others
		if (!items.remove(item)) return false
		this.noteRemoved(flow, item)
		return true
	}

	/** The item that is served next, of the accounts that are not in `skipped`. */
	first(skipped?: ReadonlySet<string>): Item | undefined {
		const flow = this.nextFlow(skipped)
		return flow?.returning.first() ?? flow?.others.first()
	}

	/** Removes the item that is served next, of the accounts that are not in `skipped`. */
	take(skipped?: ReadonlySet<string>): Item | undefined {
		const next = this.nextFlow(skipped)
		const item = next?.returning.first() ?? next?.others.first()
		if (!next || !item) return undefined
		this.virtualTime = Math.max(this.virtualTime, next.startTag)
		next.startTag += item.workMs / next.weight
		this.remove(item)
		return item
	}

	/** The newest item of the account that waits with the most work relative to its weight. */
	leastEntitled(): Item | undefined {
		let most: Flow<Item> | undefined
		let mostMs = Number.NEGATIVE_INFINITY
		for (const flow of this.flows.values()) {
			const weighted = flow.workMs / flow.weight
			if (weighted <= mostMs) continue
			most = flow
			mostMs = weighted
		}
		return most?.others.last() ?? most?.returning.last()
	}

	/** Work relative to its weight that waits for the account, in ms. */
	weightedWorkMs(account: string): Millis {
		return (this.flows.get(account)?.workMs ?? 0) / this.weightOf(account)
	}

	/** Work that is served before a new item of the account. */
	workAheadOf(account: string): Millis {
		const own = this.flows.get(account)
		const ownWorkMs = own?.workMs ?? 0
		const weight = this.weightOf(account)
		let aheadMs = ownWorkMs
		for (const flow of this.flows.values())
			if (flow !== own) aheadMs += Math.min(flow.workMs, (ownWorkMs / weight) * flow.weight)
		return aheadMs
	}

	private nextFlow(skipped?: ReadonlySet<string>): Flow<Item> | undefined {
		let next: Flow<Item> | undefined
		for (const [account, flow] of this.flows)
			if ((!next || flow.startTag < next.startTag) && !skipped?.has(account)) next = flow
		return next
	}

	private flowOf(account: string): Flow<Item> {
		const known = this.flows.get(account)
		if (known) return known
		const startTag = Math.max(this.virtualTime, this.idleTags.get(account) ?? 0)
		const flow = {
			returning: new ItemList<Item>(),
			others: new ItemList<Item>(),
			workMs: 0,
			weight: 1,
			startTag,
		}
		this.idleTags.delete(account)
		this.flows.set(account, flow)
		return flow
	}

	private noteRemoved(flow: Flow<Item>, item: Item): void {
		flow.workMs -= item.workMs
		this.totalWorkMs -= item.workMs
		this.itemCount--
		if (flow.returning.size + flow.others.size > 0) return
		this.flows.delete(item.account)
		if (this.itemCount === 0) this.totalWorkMs = 0
		for (const [account, tag] of this.idleTags)
			if (tag <= this.virtualTime) this.idleTags.delete(account)
		if (flow.startTag > this.virtualTime) this.idleTags.set(item.account, flow.startTag)
	}
}
