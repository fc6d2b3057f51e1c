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

describe('TargetDirectory entries', () => {
	let registry: TargetRegistry
	let directory: TargetDirectory
	let logged: LogEvent[]
	let dropped: TargetEntry[]
	let now: number

	beforeEach(() => {
		registry = new TargetRegistry()
		logged = []
		dropped = []
		now = 1_000
		directory = new TargetDirectory({
			registry,
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

	function applyItems(...items: readonly [string, TargetEntry | string, number][]): void {
		const entries = items.map(([key, entry, revision]): [string, StoreItem] => {
			const text = typeof entry === 'string' ? entry : JSON.stringify(entry)
			return [key, { key, value: Buffer.from(text), revision: { era: 1, number: revision } }]
		})
		directory.applyItems(new Map(entries), { era: 1, number: 1 })
	}

	function isUsed(name: string): boolean {
		return registry.serviceOf(brandId<TargetName>(name)) !== undefined
	}

	it('ignores unreadable entries and applies the others', () => {
		applyItems(['a', targetEntryOf('a', '1'), 1], ['b', targetEntryOf('b', '2'), 2])
		applyItems(['a', UNREADABLE, 3], ['b', targetEntryOf('b', '2'), 2])
		expect([isUsed('a'), isUsed('b')]).toEqual([false, true])
		expect(directory.unreadableCount).toBe(1)
		applyItems(['a', targetEntryOf('a', '1'), 4], ['b', targetEntryOf('b', '2'), 2])
		expect(isUsed('a')).toBe(true)
		expect(directory.unreadableCount).toBe(0)
	})

	it('does not treat unreadable entries as expired while the store was unreachable', () => {
		applyItems(['a', targetEntryOf('a', '1'), 1], ['b', targetEntryOf('b', '2'), 2])
		directory.noteContact({ kind: 'reached' })
		directory.noteContact({ kind: 'lost', fault: { kind: 'no-answer', cause: '' } })
		now += 5_000
		directory.noteContact({ kind: 'reached' })
		applyItems(['a', UNREADABLE, 3])
		expect([isUsed('a'), isUsed('b')]).toEqual([false, true])
		applyItems(['a', UNREADABLE, 4])
		directory.maintain()
		expect(isUsed('a')).toBe(false)
	})

	it('logs unreadable entries once, in a single event', () => {
		const many = Array.from({ length: 10_000 }, (_, i): [string, string, number] => [
			`x-${i}`,
			UNREADABLE,
			i + 1,
		])
		applyItems(...many)
		applyItems(...many)
		const events = logged.filter((event) => event.name === 'target-unreadable')
		expect(events.map((event) => event.fields)).toEqual([
			{ key: 'x-0', what: 'State', revision: '1:1', others: 9_999 },
		])
	})

	it('drops the connections of a target whose entry reports a restart', () => {
		const first = { ...targetEntryOf('a', '1'), bornAt: 1 }
		applyItems(['a', first, 1])
		applyItems(['a', { ...first, bornAt: 2 }, 2])
		expect(dropped.map((target) => target.bornAt)).toEqual([1])
		expect(logged.map((event) => event.name)).toEqual([
			'target-joined',
			'target-joined',
			'target-restarted',
		])
	})
})
