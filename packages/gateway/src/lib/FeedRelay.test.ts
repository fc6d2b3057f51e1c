import { MemoryStore, type CallFate } from '@stallwing/standins'
import {
	PrefixFollower,
	type WatchableStore,
	type KeyValueStore,
	type StoreChange,
	type StoreFault,
} from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { FeedRelay } from './FeedRelay.js'
import type { FeedPeers } from './PeerFeeds.js'
import { decodeFeedResponse, encodeFeedResponse } from './feedCodec.js'
import { sleep } from './sleep.js'

/** Two boxes that watch the store, and one that asks them. */
class Zone {
	readonly cut = new Set<string>()
	/** Boxes whose watches say nothing for long, and do not fail either. */
	readonly deaf = new Set<string>()
	readonly dead = new Set<string>()
	/** Time that each version of a document takes to arrive from the store, in ms: a small link. */
	versionMs = 0
	readonly calls = new Map<string, number>()
	readonly seen = new Map<string, Record<string, string>>()
	readonly store = new MemoryStore({
		now: () => Date.now(),
		sleep,
		fate: (caller) => this.fateOf(caller),
	})
	private readonly relays = new Map<string, FeedRelay>()
	private readonly followers: PrefixFollower[] = []

	constructor() {
		for (const box of ['watcher-1', 'watcher-2', 'other']) this.start(box)
	}

	stop(): void {
		for (const follower of this.followers) follower.stop()
	}

	start(box: string): void {
		const isWatcher = box.startsWith('watcher')
		const relay = new FeedRelay({
			store: this.deafStore(box),
			peers: this.peers(),
			isWatcher: () => isWatcher,
			hasDependentBoxes: () => isWatcher,
			isFleetKnown: () => true,
			watcherAddresses: () => ['watcher-1', 'watcher-2'].filter((other) => other !== box),
			propagationLimitMs: 2_000,
			storeReadsPerSecond: 2_000,
			fleetSize: () => 3,
			now: () => Date.now(),
			random: () => 0.5,
			sleep,
			log: () => undefined,
		})
		this.relays.set(box, relay)
		const follower = new PrefixFollower(relay, {
			prefix: 'a/',
			waitMs: 3_500,
			retryMs: 100,
			onItems: (items) => {
				const texts = [...items].map(([key, item]) => [key, item.value.toString('utf8')])
				this.seen.set(box, Object.fromEntries(texts) as Record<string, string>)
			},
			onContact: () => undefined,
			sleep,
		})
		this.followers.push(follower)
		void follower.run()
	}

	private deafStore(box: string): WatchableStore & Pick<KeyValueStore, 'era' | 'ping'> {
		const store = this.store.connect(box)
		return {
			get era() {
				return store.era
			},
			ping: () => store.ping(),
			list: async (prefix) => {
				const listing = await store.list(prefix)
				await sleep(this.versionMs)
				return listing
			},
			watch: async (prefix, after, waitMs) => {
				const told = await store.watch(prefix, after, waitMs)
				while (this.deaf.has(box)) await sleep(100)
				if (this.versionMs === 0 || E.isLeft(told)) return told
				const first = told.right.slice(0, 1)
				await sleep(this.versionMs * first.length)
				return E.right(first)
			},
		}
	}

	private peers(): FeedPeers {
		return {
			changes: async (address, prefix, after, waitMs) => {
				if (this.dead.has(address)) {
					await sleep(waitMs + 300)
					return undefined
				}
				const answer = await this.relays.get(address)?.handleRequest(prefix, after, waitMs)
				return answer && decodeFeedResponse(JSON.stringify(encodeFeedResponse(answer)), after.era)
			},
		}
	}

	private fateOf(caller: string): CallFate {
		this.calls.set(caller, (this.calls.get(caller) ?? 0) + 1)
		return this.cut.has(caller) ? 'lost' : 'served'
	}
}

describe('FeedRelay', () => {
	let zone: Zone

	beforeEach(() => {
		vi.useFakeTimers()
		zone = new Zone()
	})

	afterEach(() => {
		zone.stop()
		vi.useRealTimers()
	})

	it('tells a box that does not watch what the store told another', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		const before = zone.calls.get('other')
		zone.store.put('a/x', 'one')
		await vi.advanceTimersByTimeAsync(100)
		expect(zone.seen.get('other')).toEqual({ 'a/x': 'one' })
		zone.store.put('a/y', 'two')
		zone.store.remove('a/x')
		await vi.advanceTimersByTimeAsync(20_000)
		expect(zone.seen.get('other')).toEqual({ 'a/y': 'two' })
		expect(zone.calls.get('other')).toBe(before)
	})

	it('goes to the next box where one does not answer, and to the store where none does', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		zone.dead.add('watcher-1')
		zone.store.put('a/x', 'one')
		await vi.advanceTimersByTimeAsync(1_600)
		expect(zone.seen.get('other')).toEqual({ 'a/x': 'one' })
		zone.dead.add('watcher-2')
		await vi.advanceTimersByTimeAsync(3_000)
		zone.store.put('a/x', 'two')
		await vi.advanceTimersByTimeAsync(1_600)
		expect(zone.seen.get('other')).toEqual({ 'a/x': 'two' })
	})

	it('keeps a box up to date that the store turns away', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		zone.cut.add('watcher-1')
		zone.store.put('a/x', 'one')
		await vi.advanceTimersByTimeAsync(2_000)
		expect(zone.seen.get('watcher-1')).toEqual({ 'a/x': 'one' })
	})

	it('does not believe a silent box that the store has not answered for long', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		zone.cut.add('watcher-1')
		zone.cut.add('watcher-2')
		await vi.advanceTimersByTimeAsync(6_000)
		zone.store.put('a/x', 'one')
		await vi.advanceTimersByTimeAsync(5_000)
		expect(zone.seen.get('other')).toEqual({ 'a/x': 'one' })
	})

	it('lists anew where changes are no longer kept', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		zone.cut.add('other')
		for (let i = 0; i < 5; i++) zone.store.put('a/x', `${i}`)
		zone.cut.delete('other')
		zone.store.compact()
		zone.store.put('a/x', 'last')
		await vi.advanceTimersByTimeAsync(6_000)
		expect(zone.seen.get('other')).toEqual({ 'a/x': 'last' })
	})

	it('does not vouch for silence once the store does not answer it', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		zone.cut.add('watcher-1')
		zone.cut.add('watcher-2')
		// Soon after, the box has gone to the store itself, whose answers it gets.
		await vi.advanceTimersByTimeAsync(6_000)
		const before = zone.calls.get('other') ?? 0
		zone.store.put('a/x', 'one')
		await vi.advanceTimersByTimeAsync(200)
		expect(before).toBeGreaterThan(1)
		expect(zone.seen.get('other')).toEqual({ 'a/x': 'one' })
	})

	it('hears of a change in time though the boxes it asks have gone deaf without knowing', async () => {
		for (const offsetMs of [0, 250, 500, 750, 1_000, 1_250]) {
			await vi.advanceTimersByTimeAsync(8_000 + offsetMs)
			zone.deaf.add('watcher-1')
			zone.deaf.add('watcher-2')
			zone.store.put('a/x', `${offsetMs}`)
			// The bound of the users' deployments is 2 s to 3 s.
			await vi.advanceTimersByTimeAsync(1_900)
			expect(zone.seen.get('other')).toEqual({ 'a/x': `${offsetMs}` })
			zone.deaf.clear()
		}
	})

	it('has the newest version soon after a cut, where each of many takes long to arrive', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		for (const box of ['watcher-1', 'watcher-2', 'other']) zone.cut.add(box)
		await vi.advanceTimersByTimeAsync(2_000)
		for (let version = 0; version < 8; version++) zone.store.put('a/x', `${version}`)
		zone.versionMs = 1_000
		zone.cut.clear()
		await vi.advanceTimersByTimeAsync(3_500)
		expect(zone.seen.get('watcher-1')).toEqual({ 'a/x': '7' })
		expect(zone.seen.get('other')).toEqual({ 'a/x': '7' })
	})

	it('keeps up with versions that come faster than they arrive', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		zone.versionMs = 800
		for (let version = 0; version < 20; version++) {
			zone.store.put('a/x', `${version}${' '.repeat(100_000)}`)
			await vi.advanceTimersByTimeAsync(200)
		}
		await vi.advanceTimersByTimeAsync(2_000)
		expect(zone.seen.get('watcher-1')?.['a/x']?.trim()).toBe('19')
	})

	it('passes a large document on', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		const before = zone.calls.get('other')
		const large = 'route '.repeat(100_000)
		zone.store.put('a/x', large)
		await vi.advanceTimersByTimeAsync(500)
		expect(zone.seen.get('other')).toEqual({ 'a/x': large })
		expect(zone.calls.get('other')).toBe(before)
	})

	it('has all items from others where the store turns it away from its start on', async () => {
		zone.store.put('a/x', 'one')
		await vi.advanceTimersByTimeAsync(2_000)
		zone.cut.add('watcher-3')
		zone.start('watcher-3')
		await vi.advanceTimersByTimeAsync(1_500)
		expect(zone.seen.get('watcher-3')).toEqual({ 'a/x': 'one' })
		zone.store.put('a/x', 'two')
		await vi.advanceTimersByTimeAsync(1_500)
		expect(zone.seen.get('watcher-3')).toEqual({ 'a/x': 'two' })
	})

	it('hears of a deletion though the box that it asks never saw the item', async () => {
		await vi.advanceTimersByTimeAsync(2_000)
		zone.cut.add('watcher-1')
		zone.cut.add('watcher-2')
		zone.start('watcher-3')
		zone.store.put('a/x', 'one')
		await vi.advanceTimersByTimeAsync(2_000)
		expect(zone.seen.get('watcher-3')).toEqual({ 'a/x': 'one' })
		zone.dead.add('watcher-3')
		zone.cut.add('watcher-3')
		zone.store.remove('a/x')
		zone.store.compact()
		await vi.advanceTimersByTimeAsync(2_000)
		zone.cut.delete('watcher-1')
		zone.cut.delete('watcher-2')
		await vi.advanceTimersByTimeAsync(4_000)
		expect(zone.seen.get('watcher-3')).toEqual({})
	})
})

describe('FeedRelay with a store that answers from some time ago', () => {
	beforeEach(() => {
		vi.useFakeTimers()
	})

	afterEach(() => {
		vi.useRealTimers()
	})

	it('goes back to no older item', async () => {
		const ready = { key: 'a/x', value: Buffer.from('ready'), revision: { era: 1, number: 1 } }
		const leaving = { key: 'a/x', value: Buffer.from('leaving'), revision: { era: 1, number: 5 } }
		const watches: E.Either<StoreFault, readonly StoreChange[]>[] = [
			E.right([{ kind: 'written', item: leaving }]),
			E.left({ kind: 'history-gone' }),
		]
		const relay = new FeedRelay({
			store: {
				era: 1,
				ping: () => Promise.resolve(true),
				list: () => Promise.resolve(E.right({ items: [ready], at: { era: 1, number: 1 } })),
				watch: async (_prefix, _after, waitMs) => {
					await sleep(watches.length > 0 ? 10 : waitMs)
					return watches.shift() ?? E.right([])
				},
			},
			peers: { changes: () => Promise.resolve(undefined) },
			isWatcher: () => true,
			hasDependentBoxes: () => false,
			isFleetKnown: () => true,
			watcherAddresses: () => [],
			propagationLimitMs: 2_000,
			storeReadsPerSecond: 2_000,
			fleetSize: () => 1,
			now: () => Date.now(),
			random: () => 0.5,
			sleep,
			log: () => undefined,
		})
		const seen: (string | undefined)[] = []
		const follower = new PrefixFollower(relay, {
			prefix: 'a/',
			waitMs: 1_000,
			retryMs: 100,
			onItems: (items) => seen.push(items.get('a/x')?.value.toString('utf8')),
			onContact: () => undefined,
			sleep,
		})
		void follower.run()
		await vi.advanceTimersByTimeAsync(3_000)
		follower.stop()
		expect(seen).toEqual(['ready', 'leaving', 'leaving'])
	})
})
