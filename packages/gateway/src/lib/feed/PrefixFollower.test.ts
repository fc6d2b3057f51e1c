import { MemoryStore, type CallOutcome } from '@stallwing/standins'
import { PrefixFollower, type StoreItem } from '@stallwing/store'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { sleep } from '../sleep.js'

describe('PrefixFollower', () => {
	let outcome: CallOutcome
	let store: MemoryStore
	let received: Record<string, string>
	let contacts: string[]
	let follower: PrefixFollower

	beforeEach(() => {
		vi.useFakeTimers()
		outcome = 'served'
		received = {}
		contacts = []
		store = new MemoryStore({ now: () => Date.now(), sleep, outcomeOf: () => outcome })
		follower = new PrefixFollower(store.connect('box'), {
			prefix: 'targets/',
			waitMs: 1_000,
			retryMs: 100,
			onItems: (items) => (received = textsByKey(items)),
			onContact: (contact) => contacts.push(contact.kind),
			sleep,
		})
	})

	afterEach(() => {
		follower.stop()
		vi.useRealTimers()
	})

	it('receives items that are written, changed and deleted below its prefix', async () => {
		store.put('targets/a', 'ready')
		store.put('other/x', 'no')
		void follower.run()
		await vi.advanceTimersByTimeAsync(100)
		expect(received).toEqual({ 'targets/a': 'ready' })
		store.put('targets/a', 'draining')
		store.put('targets/b', 'ready')
		await vi.advanceTimersByTimeAsync(100)
		expect(received).toEqual({ 'targets/a': 'draining', 'targets/b': 'ready' })
		store.remove('targets/a')
		await vi.advanceTimersByTimeAsync(100)
		expect(received).toEqual({ 'targets/b': 'ready' })
	})

	it('lists again when the history with a change is gone', async () => {
		store.put('targets/a', 'ready')
		void follower.run()
		await vi.advanceTimersByTimeAsync(100)
		outcome = 'lost'
		await vi.advanceTimersByTimeAsync(600)
		store.put('targets/a', 'draining')
		store.compact()
		outcome = 'served'
		await vi.advanceTimersByTimeAsync(1_500)
		expect(received).toEqual({ 'targets/a': 'draining' })
	})

	it('resumes after the last received change, not after a watch without changes', async () => {
		store.put('targets/a', 'ready')
		void follower.run()
		await vi.advanceTimersByTimeAsync(3_000)
		// Writes to other keys raise the revision, and the store compacts the history up to it.
		for (let i = 0; i < 5; i++) store.put('other/x', String(i))
		store.remove('targets/a')
		store.compact()
		await vi.advanceTimersByTimeAsync(2_000)
		expect(received).toEqual({})
	})

	it('reports once that the store is unreachable and once that it is reachable again', async () => {
		void follower.run()
		await vi.advanceTimersByTimeAsync(100)
		outcome = 'refused'
		await vi.advanceTimersByTimeAsync(3_000)
		outcome = 'served'
		await vi.advanceTimersByTimeAsync(3_000)
		expect(contacts).toEqual(['reached', 'lost', 'reached'])
	})
})

function textsByKey(items: ReadonlyMap<string, StoreItem>): Record<string, string> {
	return Object.fromEntries([...items.values()].map((item) => [item.key, item.value.toString()]))
}
