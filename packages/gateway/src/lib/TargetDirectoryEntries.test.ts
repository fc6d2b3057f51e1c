import {
	TargetRegistry,
	brandId,
	type LogEvent,
	type TargetEntry,
	type TargetName,
} from '@stallwing/core'
import type { StoreItem } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { beforeEach, describe, expect, it } from 'vitest'
import { TargetDirectory } from './TargetDirectory.js'
import { targetEntryOf } from './testBox.js'

const UNREADABLE = 'unreadable'

describe('entries of the list of targets', () => {
	let board: TargetRegistry
	let directory: TargetDirectory
	let logged: LogEvent[]
	let dropped: TargetEntry[]
	let now: number

	beforeEach(() => {
		board = new TargetRegistry()
		logged = []
		dropped = []
		now = 1_000
		directory = new TargetDirectory({
			registry: board,
			readTarget: ({ value, revision }) => {
				const text = value.toString()
				if (text === UNREADABLE) return E.left({ kind: 'unreadable', what: 'State' })
				return E.right({ ...(JSON.parse(text) as TargetEntry), revision })
			},
			onDropped: (target) => dropped.push(target),
			onEnded: () => undefined,
			listAgeMs: () => 0,
			storeAvailableMs: () => 0,
			now: () => now,
			suspendAwareNow: () => now,
			wallTime: () => now,
			log: (event) => logged.push(event),
		})
	})

	function take(...items: readonly [string, TargetEntry | string, number][]): void {
		const all = items.map(([key, entry, revision]): [string, StoreItem] => {
			const text = typeof entry === 'string' ? entry : JSON.stringify(entry)
			return [key, { key, value: Buffer.from(text), revision: { era: 1, number: revision } }]
		})
		directory.applyItems(new Map(all), { era: 1, number: 1 })
	}

	function isUsed(name: string): boolean {
		return board.serviceOf(brandId<TargetName>(name)) !== undefined
	}

	it('that can not be read name no target, and the others hold', () => {
		take(['a', targetEntryOf('a', '1'), 1], ['b', targetEntryOf('b', '2'), 2])
		take(['a', UNREADABLE, 3], ['b', targetEntryOf('b', '2'), 2])
		expect([isUsed('a'), isUsed('b')]).toEqual([false, true])
		expect(directory.unreadableCount).toBe(1)
		take(['a', targetEntryOf('a', '1'), 4], ['b', targetEntryOf('b', '2'), 2])
		expect(isUsed('a')).toBe(true)
		expect(directory.unreadableCount).toBe(0)
	})

	it('that can not be read are not used as if they had run out while the store was away', () => {
		take(['a', targetEntryOf('a', '1'), 1], ['b', targetEntryOf('b', '2'), 2])
		directory.noteContact({ kind: 'reached' })
		directory.noteContact({ kind: 'lost', fault: { kind: 'no-answer', cause: '' } })
		now += 5_000
		directory.noteContact({ kind: 'reached' })
		take(['a', UNREADABLE, 3])
		expect([isUsed('a'), isUsed('b')]).toEqual([false, true])
		take(['a', UNREADABLE, 4])
		directory.maintain()
		expect(isUsed('a')).toBe(false)
	})

	it('that can not be read are logged once, in one line however many there are', () => {
		const many = Array.from({ length: 10_000 }, (_, i): [string, string, number] => [
			`x-${i}`,
			UNREADABLE,
			i + 1,
		])
		take(...many)
		take(...many)
		const lines = logged.filter((event) => event.name === 'target-unreadable')
		expect(lines.map((line) => line.fields)).toEqual([
			{ key: 'x-0', what: 'State', revision: '1:1', others: 9_999 },
		])
	})

	it('that tell of a new start let go of the connections of the earlier one', () => {
		const first = { ...targetEntryOf('a', '1'), bornAt: 1 }
		take(['a', first, 1])
		take(['a', { ...first, bornAt: 2 }, 2])
		expect(dropped.map((target) => target.bornAt)).toEqual([1])
		expect(logged.map((event) => event.name)).toEqual([
			'target-joined',
			'target-joined',
			'target-restarted',
		])
	})
})
