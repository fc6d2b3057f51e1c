import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type TargetName, type ZoneName } from '../ids.js'
import type { DeclaredWork } from '../traffic/DeclaredWork.js'
import type { ColdStart } from './coldRateLimit.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetEntry } from './TargetEntry.js'
import { incarnationOf, type TargetIncarnation } from './TargetIncarnation.js'
import { SERVICE, ZONE, entry, query } from './testEntries.js'

const OTHER_ZONE = brandId<ZoneName>('z2')
const BOX = brandId<BoxName>('box')
const COLD_START: ColdStart = { ms: 3_000, requestsPerSecond: 7.7 }

function prompt(session: string, own: string): DeclaredWork {
	return {
		inputTokens: 9_000,
		maxOutputTokens: 50,
		parts: [
			{ id: 'system', tokens: 2_500 },
			{ id: session, tokens: 3_800 },
			{ id: own, tokens: 2_700 },
		],
	}
}

function boardOf(...entries: TargetEntry[]): TargetRegistry {
	const board = new TargetRegistry()
	board.replace(entries, 0)
	return board
}

function lives(name: string): ReadonlySet<TargetIncarnation> {
	return new Set([brandId<TargetIncarnation>(name)])
}

/** The board of a fleet of one box that spares cold targets. */
function gatedBoard(): TargetRegistry {
	const boxes = [BOX]
	const coldLimits = { overrun: 1.5, tolerance: 5 }
	const rates = { self: BOX, boxes: () => boxes, isSettled: () => true, coldLimits }
	const board = new TargetRegistry({ rateLimits: rates })
	board.setColdStarts(new Map([[SERVICE, COLD_START]]))
	return board
}

describe('TargetBoard', () => {
	it('gives no new work to targets that leave, are gone, were tried, or are full', () => {
		const board = boardOf(entry('a'), entry('bb', { leaving: true }), entry('ccc'))
		board.replace([entry('a'), entry('bb', { leaving: true })], 1)
		expect(board.choose(query(), 1)?.target.name).toBe('a')
		const tried = new Set([brandId<TargetIncarnation>('a')])
		expect(board.choose(query({ tried }), 1)).toBeUndefined()
		expect(board.choose(query({ isFull: () => true }), 1)).toBeUndefined()
	})

	it('goes elsewhere where a target turns requests away, and comes back when that is some time ago', () => {
		// Without work of its own, the target that turns all away looks cheaper than one that works.
		const board = boardOf(entry('a'), entry('bb'))
		const working = Array.from({ length: 4 }, () => board.choose(query({ tried: lives('a') }), 0)!)
		for (const place of working) board.beginAttempt(place, undefined, 0)
		for (let i = 0; i < 3; i++) {
			const place = board.choose(query(), i)
			if (place?.target.name !== 'a') break
			board.beginAttempt(place, undefined, i).end('full', i)
		}
		expect(board.choose(query(), 10)?.target.name).toBe('bb')
		expect(board.choose(query(), 60_000)?.target.name).toBe('a')
	})

	it('tells what joined, leaves and is gone', () => {
		const board = boardOf(entry('a'), entry('bb'))
		const changes = board.replace([entry('a', { leaving: true }), entry('ccc')], 1)
		expect(changes.added.map((target) => target.name)).toEqual(['ccc'])
		expect(changes.leaving.map((target) => target.name)).toEqual(['a'])
		expect(changes.removed.map((target) => target.name)).toEqual(['bb'])
	})

	it('sends prompts of one session to one target, on every box alike', () => {
		const entries = ['a', 'bb', 'ccc', 'dddd'].map((name) => entry(name))
		for (let session = 0; session < 20; session++) {
			const places = [1, 2, 3].map((box) =>
				boardOf(...entries).choose(query({ work: prompt(`s${session}`, `own-${box}`) }), 0),
			)
			expect(new Set(places.map((place) => place?.target.name)).size).toBe(1)
		}
	})

	it('leaves the home of a prompt when much is to be read there first', () => {
		const board = boardOf(entry('a'), entry('bb'))
		const work = prompt('session', 'own')
		const home = board.choose(query({ work }), 0)
		const busy = [{ life: incarnationOf(home!.target), unreadTokens: 90_000, open: 10 }]
		board.notePeerWork(brandId<BoxName>('other'), busy, 0)
		expect(board.choose(query({ work }), 1)?.target.name).not.toBe(home?.target.name)
		expect(board.choose(query({ work }), 5_000)?.target.name).toBe(home?.target.name)
	})

	it('leaves a target alone that can not be reached, and tries it again later', () => {
		const board = boardOf(entry('a'), entry('bb', { zone: brandId<ZoneName>('z2') }))
		const place = board.choose(query(), 0)
		expect(place?.target.name).toBe('a')
		board.beginAttempt(place!, undefined, 0).end('unreachable', 0)
		expect(board.choose(query(), 1)?.target.name).toBe('bb')
		expect(board.choose(query(), 60_000)?.target.name).toBe('a')
	})

	it('keeps a request out of zones that it may not run in', () => {
		const board = boardOf(entry('a'), entry('bb', { zone: OTHER_ZONE }))
		const mayRunIn = (zone: ZoneName): boolean => zone === OTHER_ZONE
		expect(board.choose(query({ mayRunIn }), 0)?.target.name).toBe('bb')
		expect(board.choose(query({ mayRunIn: () => false }), 0)).toBeUndefined()
	})

	it('prefers a target that it holds a connection to, where nothing else speaks against it', () => {
		const board = boardOf(entry('a'), entry('bb'))
		const isConnected = (target: TargetName): boolean => target === 'bb'
		expect(board.choose(query({ hasIdleConnection: isConnected }), 0)?.target.name).toBe('bb')
		const busy = [{ life: brandId<TargetIncarnation>('bb'), unreadTokens: 0, open: 8 }]
		board.notePeerWork(brandId<BoxName>('other'), busy, 0)
		expect(board.choose(query({ hasIdleConnection: isConnected }), 1)?.target.name).toBe('a')
	})

	it('turns away from a target that stays silent', () => {
		const board = boardOf(entry('a'), entry('bb', { zone: brandId<ZoneName>('z2') }))
		const place = board.choose(query(), 0)
		const attempt = board.beginAttempt(place!, undefined, 0)
		expect(board.choose(query(), 5_000)?.target.name).toBe('bb')
		attempt.noteByte(5_000)
		attempt.end('good', 5_000)
		expect(board.choose(query(), 5_001)?.target.name).toBe('bb')
		expect(board.choose(query(), 5_001)).toBeDefined()
	})

	it('counts failures against a target only beyond those of its fellows', () => {
		const board = boardOf(entry('a'), entry('bb'))
		for (let i = 0; i < 10; i++) {
			for (const name of ['a', 'bb']) {
				const tried = new Set([brandId<TargetIncarnation>(name === 'a' ? 'bb' : 'a')])
				board.beginAttempt(board.choose(query({ tried }), i)!, undefined, i).end('failed', i)
			}
		}
		const even = board.choose(query(), 10)!
		expect(even.cost.ms).toBeLessThan(100)
	})

	it('sums the work of the boxes that are asked for, while their word is fresh', () => {
		const board = new TargetRegistry()
		board.replace([entry('a')], 0)
		const row = (open: number) => [
			{ life: brandId<TargetIncarnation>('a'), unreadTokens: 100 * open, open },
		]
		board.notePeerWork(brandId<BoxName>('box-1'), row(1), 0)
		board.notePeerWork(brandId<BoxName>('box-2'), row(2), 0)
		expect(board.openWork(() => true, 10)).toEqual(row(3))
		expect(board.openWork((box) => box === 'box-2', 10)).toEqual(row(2))
		expect(board.openWork(() => true, 5_000)).toEqual([])
	})

	it('sends nothing into a cordoned zone, and says why a service is closed', () => {
		const board = boardOf(entry('a'), entry('bb', { zone: OTHER_ZONE }))
		board.replaceCordons([{ zone: ZONE, revision: { era: 1, number: 2 } }], 10)
		expect(board.choose(query(), 10)?.target.name).toBe('bb')
		expect(board.closedCause(SERVICE, 10)).toBeUndefined()
		board.replaceCordons(
			[
				{ zone: ZONE, revision: { era: 1, number: 2 } },
				{ zone: OTHER_ZONE, revision: { era: 1, number: 3 } },
			],
			20,
		)
		expect(board.choose(query(), 20)).toBeUndefined()
		expect(board.closedCause(SERVICE, 20)).toEqual({ cause: 'cordoned', opensInMs: undefined })
		expect(board.cordonAgeMs(ZONE, 30)).toBe(20)
		board.replaceCordons([], 40)
		expect(board.closedCause(SERVICE, 40)).toBeUndefined()
	})

	it('holds a chosen request back whose target was cordoned, left or went before it was sent', () => {
		const board = boardOf(entry('a'))
		const attempt = board.beginAttempt(board.choose(query(), 0)!, undefined, 0)
		expect(attempt.maySend(1)).toBe(true)
		board.replaceCordons([{ zone: ZONE, revision: { era: 1, number: 2 } }], 2)
		expect(attempt.maySend(3)).toBe(false)
		board.replaceCordons([], 4)
		board.replace([entry('a', { leaving: true, revision: { era: 1, number: 5 } })], 5)
		expect(attempt.maySend(6)).toBe(false)
		board.replace([], 7)
		expect(attempt.maySend(8)).toBe(false)
	})

	it('takes targets of a zone that was given back as cold, whatever their entries said before', () => {
		const board = gatedBoard()
		board.replace([entry('a')], 0)
		expect(sentAtOnce(board, 0)).toBe(50)
		board.replaceCordons([{ zone: ZONE, revision: { era: 1, number: 2 } }], 10)
		board.replaceCordons([], 20)
		expect(sentAtOnce(board, 20)).toBeLessThan(6)
		expect(board.coldCount(20)).toBe(1)
		expect(sentAtOnce(board, 20 + COLD_START.ms)).toBe(50)
	})

	it('spares a target that turns cold at any moment, from the word in its entry or its answer', () => {
		const board = gatedBoard()
		board.replace([entry('a')], 0)
		board.replace([entry('a', { coldMs: 2_000, revision: { era: 1, number: 2 } })], 1_000)
		expect(sentAtOnce(board, 1_000)).toBeLessThan(6)
		expect(board.closedCause(SERVICE, 1_000)).toEqual({ cause: 'cold', opensInMs: 2_000 })
		board.replace([entry('a', { revision: { era: 1, number: 3 } })], 2_000)
		expect(sentAtOnce(board, 2_000)).toBe(50)
		board.beginAttempt(board.choose(query(), 2_000)!, undefined, 2_000).noteCold(500, 2_100)
		expect(sentAtOnce(board, 2_100)).toBeLessThan(6)
		expect(sentAtOnce(board, 2_600)).toBe(50)
	})

	it('does not take an entry that it knows already for a new word on warmth', () => {
		const board = gatedBoard()
		const cold = entry('a', { coldMs: 2_000 })
		board.replace([cold], 0)
		for (const now of [500, 1_000, 1_500]) board.replace([cold], now)
		expect(board.coldCount(1_999)).toBe(1)
		expect(board.coldCount(2_001)).toBe(0)
	})

	describe('a target that starts again under its name', () => {
		const first = entry('a', { bornAt: 1_000, revision: { era: 1, number: 5 } })
		const second = entry('a', {
			bornAt: 9_000,
			revision: { era: 1, number: 9 },
			address: '10.0.0.9:9',
			zone: OTHER_ZONE,
		})

		it('is told as a life that is over and one that has begun', () => {
			const board = boardOf(first)
			const changes = board.replace([second], 10)
			expect(changes.restarted).toEqual([first])
			expect(changes.added).toEqual([second])
			expect(changes.removed).toEqual([])
			expect(board.choose(query(), 10)?.target.address).toBe('10.0.0.9:9')
		})

		it('keeps nothing of before: prompts, work, load, failures, the word of other boxes, leaving', () => {
			const work = prompt('session', 'own')
			const board = boardOf(first)
			const before = board.choose(query({ work }), 0)!
			board.beginAttempt(before, work, 0)
			board.beginAttempt(before, undefined, 0).end('unreachable', 0)
			board.beginAttempt(before, undefined, 0).noteLoad({ running: 8, waiting: 90, slots: 8 }, 0)
			const told = [{ life: incarnationOf(first), unreadTokens: 90_000, open: 30 }]
			board.notePeerWork(BOX, told, 0)
			board.replace([{ ...first, leaving: true, revision: { era: 1, number: 6 } }], 1)
			board.replace([second], 2)
			// A late word of another box on the earlier life.
			board.notePeerWork(BOX, told, 2)
			const fresh = boardOf(second).choose(query({ work }), 2)
			expect(board.choose(query({ work }), 2)).toEqual(fresh)
			expect(board.openWork(() => true, 2)).toEqual([])
		})

		it('may be asked again by a request that its earlier life failed', () => {
			const board = boardOf(first)
			const tried = new Set([incarnationOf(first)])
			expect(board.choose(query({ tried }), 0)).toBeUndefined()
			board.replace([second], 1)
			expect(board.choose(query({ tried }), 1)?.target.bornAt).toBe(9_000)
		})

		it('gets no request that was meant for its earlier life', () => {
			const board = boardOf(first)
			const handle = board.beginAttempt(board.choose(query(), 0)!, undefined, 0)
			expect(handle.maySend(1)).toBe(true)
			board.replace([second], 2)
			expect(handle.maySend(3)).toBe(false)
			handle.end('failed', 4)
			expect(board.choose(query(), 5)?.cost).toEqual(boardOf(second).choose(query(), 5)?.cost)
		})

		it('is not replaced by a late word of its earlier life, whatever revision that carries', () => {
			const board = boardOf(second)
			const late = { ...first, leaving: true, revision: { era: 1, number: 99 } }
			expect(board.replace([late], 1)).toEqual({
				joined: [],
				leaving: [],
				gone: [],
				restarted: [],
			})
			expect(board.choose(query(), 1)?.target).toEqual(second)
		})

		it('is one target as before where nothing tells its start', () => {
			const board = boardOf(entry('a'))
			const changes = board.replace(
				[entry('a', { revision: { era: 1, number: 2 }, leaving: true })],
				1,
			)
			expect(changes.restarted).toEqual([])
			expect(changes.leaving).toHaveLength(1)
		})
	})
})

/** Requests that the board would send one after the other at one moment; 50 at most. */
function sentAtOnce(board: TargetRegistry, now: number): number {
	for (let sent = 0; sent < 50; sent++) {
		const place = board.choose(query(), now)
		if (!place) return sent
		board.beginAttempt(place, undefined, now)
	}
	return 50
}
