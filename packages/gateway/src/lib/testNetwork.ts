import type { KeyValueStore, StoreFault, WatchableStore } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import type { FeedPeers } from './feed/PeerFeedReader.js'
import { sleep } from './sleep.js'

/** Time after the end of its wait at which a call to the store or another box times out, in ms. */
const CALL_TIMEOUT_MS = 1_500
const PEER_LATENCY_MS = 3
const WATCH_POLL_MS = 100
/** Granularity of {@link sleepUntil}, in ms. */
const SLEEP_STEP_MS = 20

const NO_ANSWER: StoreFault = { kind: 'no-answer', cause: 'partitioned' }

/** What a box calls of its store. */
type FeedStore = WatchableStore & Pick<KeyValueStore, 'era' | 'ping'>

/**
 * For tests: carries the calls of boxes to a store and to each other. Boxes can be partitioned from the store and from
 * each other, and their answers delayed. Calls in progress when a partition begins or ends get no response.
 */
export class TestNetwork {
	/** Time that answers to a box wait on its link, in ms. */
	readonly answerDelayMs = new Map<string, number>()
	private boxesWithoutStore: ReadonlySet<string> = new Set()
	private areDisconnected: (a: string, b: string) => boolean = () => false
	/** Incremented whenever a partition begins or ends. */
	private partitionChanges = 0
	/** Number of times that the watches of a box failed silently, by box. */
	private readonly interruptions = new Map<string, number>()

	/** Disconnects boxes from the store, and pairs of boxes from each other, in place of the partition before. */
	partition(boxes: readonly string[], areDisconnected: (a: string, b: string) => boolean): void {
		this.boxesWithoutStore = new Set(boxes)
		this.areDisconnected = areDisconnected
		this.partitionChanges++
	}

	/** Lets the watches of these boxes, and of those without a store, fail silently. */
	interruptWatches(boxes: readonly string[]): void {
		for (const box of [...this.boxesWithoutStore, ...boxes])
			this.interruptions.set(box, this.interruptionsOf(box) + 1)
	}

	/** The store as a box reaches it. */
	storeFor(box: string, store: FeedStore): FeedStore {
		return {
			get era() {
				return store.era
			},
			ping: () => this.callStore(box, () => store.ping(), false),
			list: (prefix) => this.callStore(box, () => store.list(prefix), E.left(NO_ANSWER)),
			watch: async (prefix, after, waitMs) => {
				const startedAt = Date.now()
				const interruptions = this.interruptionsOf(box)
				while (this.interruptionsOf(box) === interruptions && !this.boxesWithoutStore.has(box)) {
					const result = await store.watch(prefix, after, 0)
					const isDue = Date.now() >= startedAt + waitMs
					if (E.isLeft(result) || result.right.length > 0 || isDue) {
						await this.delayAnswer(box)
						return result
					}
					await sleep(WATCH_POLL_MS)
				}
				await sleepUntil(startedAt + waitMs + CALL_TIMEOUT_MS)
				return E.left(NO_ANSWER)
			},
		}
	}

	/** The other boxes as a box reaches them; `peers` answers without any network. */
	peersFor(box: string, peers: FeedPeers): FeedPeers {
		return {
			fetchChanges: async (address, prefix, after, waitMs) => {
				const { partitionChanges } = this
				const startedAt = Date.now()
				await sleep(PEER_LATENCY_MS)
				const response = this.areDisconnected(box, address)
					? undefined
					: await peers.fetchChanges(address, prefix, after, waitMs)
				const arrives =
					partitionChanges === this.partitionChanges || !this.areDisconnected(box, address)
				if (response && arrives) {
					await this.delayAnswer(address)
					await this.delayAnswer(box)
					return response
				}
				await sleepUntil(startedAt + waitMs + CALL_TIMEOUT_MS)
				return undefined
			},
		}
	}

	private interruptionsOf(box: string): number {
		return this.interruptions.get(box) ?? 0
	}

	/** Waits while an answer waits on the link of its box; shorter than the time limit of a call. */
	private async delayAnswer(box: string): Promise<void> {
		const delayMs = this.answerDelayMs.get(box) ?? 0
		if (delayMs > 0) await sleep(delayMs)
	}

	private async callStore<T>(box: string, call: () => Promise<T>, failure: T): Promise<T> {
		if (!this.boxesWithoutStore.has(box)) {
			const result = await call()
			await this.delayAnswer(box)
			return result
		}
		await sleepUntil(Date.now() + CALL_TIMEOUT_MS)
		return failure
	}
}

const sleeps = new Map<number, Promise<void>>()

/** Sleeps until a time, rounded up. Calls for the same time share a timer, because fake timers are slow if there are many. */
function sleepUntil(time: number): Promise<void> {
	const due = Math.ceil(time / SLEEP_STEP_MS) * SLEEP_STEP_MS
	const shared = sleeps.get(due)
	if (shared) return shared
	const started = sleep(Math.max(0, due - Date.now())).finally(() => sleeps.delete(due))
	sleeps.set(due, started)
	return started
}
