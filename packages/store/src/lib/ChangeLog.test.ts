import type { StoreRevision } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import { ChangeLog } from './ChangeLog.js'
import type { StoreChange, StoreItem } from './KeyValueStore.js'

function at(number: number): StoreRevision {
	return { era: 1, number }
}

function item(key: string, revision: number): StoreItem {
	return { key, value: Buffer.from('value'), revision: at(revision) }
}

function written(key: string, revision: number): StoreChange {
	return { kind: 'written', item: item(key, revision) }
}

function keysOf(changes: readonly StoreChange[] | undefined): string[] | undefined {
	return changes?.map((change) => (change.kind === 'gone' ? `-${change.key}` : change.item.key))
}

describe('ChangeLog', () => {
	it('returns the newest change of each key, in the order of revisions', () => {
		const log = new ChangeLog()
		log.applyListing({ items: [item('a', 1)], at: at(2) })
		log.append([written('b', 4), written('a', 3), { kind: 'gone', key: 'b', revision: at(5) }])
		expect(keysOf(log.changesSince(at(2)))).toEqual(['a', '-b'])
		expect(keysOf(log.changesSince(at(4)))).toEqual(['-b'])
	})

	it('deletes a key that a new listing lacks', () => {
		const log = new ChangeLog()
		log.applyListing({ items: [item('a', 1), item('b', 2)], at: at(2) })
		log.applyListing({ items: [item('a', 1)], at: at(9) })
		expect(log.listing()?.items.map(({ key }) => key)).toEqual(['a'])
		expect(log.listing()?.at).toEqual(at(9))
	})

	it('requires a listing for a reader inside a gap that may hide a deletion', () => {
		const log = new ChangeLog()
		log.applyListing({ items: [], at: at(1) })
		// A reader at revision 6 may have seen `b` written at 5 and then deleted at 8, which this log has missed.
		log.applyListing({ items: [item('a', 9)], at: at(10) })
		expect(log.changesSince(at(6))).toBeUndefined()
		expect(log.changesSince(at(10))).toEqual([])
		// A reader from before the gap can catch up by changes.
		expect(keysOf(log.changesSince(at(1)))).toEqual(['a'])
	})

	it('returns changes across a listing that contained nothing new', () => {
		const log = new ChangeLog()
		log.applyListing({ items: [item('a', 1)], at: at(3) })
		log.append([written('b', 4)])
		log.applyListing({ items: [item('a', 1), item('b', 4)], at: at(30) })
		expect(log.changesSince(at(4))).toEqual([])
		log.append([{ kind: 'gone', key: 'b', revision: at(31) }])
		expect(keysOf(log.changesSince(at(4)))).toEqual(['-b'])
	})

	it('keeps a bounded number of gaps', () => {
		const log = new ChangeLog()
		for (let number = 1; number < 1_000; number += 2)
			log.applyListing({ items: [], at: at(number) })
		expect(log.changesSince(at(1))).toBeUndefined()
		expect(log.changesSince(at(997))).toEqual([])
	})
})
