import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { brandId, type BoxName } from '../ids.js'
import type { AttemptHandle } from './AttemptHandle.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetEntry } from './TargetEntry.js'
import { SERVICE, entry, query } from './testEntries.js'

const WALL = 1_800_000_000_000
const BOX = brandId<BoxName>('box-0')
const BOXES = [BOX]
const COLD_MS = 3_000

/** The board of a fleet of one box: it has the whole of each rate. */
function boardOf(...entries: TargetEntry[]): TargetRegistry {
	const coldLimits = { overrun: 1.5, tolerance: 5 }
	const rates = { self: BOX, boxes: () => BOXES, isSettled: () => true, coldLimits }
	const board = new TargetRegistry({ rateLimits: rates })
	board.replace(entries, 0, WALL)
	return board
}

function begin(board: TargetRegistry, name: string, now: number): AttemptHandle {
	const place = board.choose(query(), now)
	expect(place?.target.name).toBe(name)
	return board.beginAttempt(place!, undefined, now)
}

function chosen(board: TargetRegistry, now: number): string | undefined {
	return board.choose(query(), now)?.target.name
}

/** Requests that the board sends in a time, one at each step where it may. */
function sentIn(board: TargetRegistry, from: number, until: number): number {
	let sent = 0
	for (let now = from; now < until; now += 10) {
		const place = board.choose(query(), now)
		if (!place) continue
		board.beginAttempt(place, undefined, now).end('good', now)
		sent++
	}
	return sent
}

describe('a target that names a rate', () => {
	it('gets that many requests a second, and others get the rest', () => {
		const board = boardOf(entry('a'))
		begin(board, 'a', 0).noteRate(2, 0)
		expect(sentIn(board, 0, 10_000)).toBeGreaterThan(18)
		expect(sentIn(board, 10_000, 20_000)).toBeLessThanOrEqual(20)
		board.replace([entry('a'), entry('bb')], 20_000)
		expect(sentIn(board, 20_000, 21_000)).toBe(100)
	})

	it('closes a service until it takes the next request', () => {
		const board = boardOf(entry('a'))
		begin(board, 'a', 0).noteRate(2, 0)
		expect(chosen(board, 100)).toBeUndefined()
		expect(board.closedCause(SERVICE, 100)).toEqual({ cause: 'rate', opensInMs: 500 })
		expect(board.closedCause(SERVICE, 500)).toEqual({ cause: 'rate', opensInMs: 100 })
		expect(chosen(board, 600)).toBe('a')
		expect(board.closedCause(SERVICE, 600)).toBeUndefined()
	})

	it('and asked for a backoff opens no earlier than that ends', () => {
		const board = boardOf(entry('a'))
		const handle = begin(board, 'a', 0)
		handle.noteByte(0)
		handle.noteRate(2, 0)
		handle.noteBackoff(3_000, 0)
		handle.end('full', 0)
		expect(board.closedCause(SERVICE, 100)).toEqual({ cause: 'backoff', opensInMs: 2_900 })
	})

	it('says so in each answer, which is no news; a change and the end are', () => {
		const board = boardOf(entry('a'))
		const words: [number, number | undefined][] = [
			[0, 2],
			[1_000, 2],
			[2_000, 3],
			[3_000, undefined],
			[4_000, undefined],
			[5_000, 3],
		]
		const news = words.map(([at, rate]) => {
			const isNews = begin(board, 'a', at).noteRate(rate, at + 1)
			// Its share of the rate fills from the first look at the target on.
			chosen(board, at + 1)
			return isNews
		})
		expect(news).toEqual([true, false, true, true, false, true])
	})

	it('keeps it where an answer without it is one to a request of before the word', () => {
		const board = boardOf(entry('a'))
		const [early, late] = [0, 5].map((now) => begin(board, 'a', now))
		late?.noteRate(2, 20)
		expect(chosen(board, 20)).toBeUndefined()
		expect(early?.noteRate(undefined, 30)).toBe(false)
		expect(chosen(board, 30)).toBeUndefined()
		const next = begin(board, 'a', 600)
		expect(next.noteRate(undefined, 640)).toBe(true)
		expect(chosen(board, 640)).toBe('a')
	})

	it('names it in words that are not understood: told once for each, and what it named before holds', () => {
		const board = boardOf(entry('a'))
		const handle = begin(board, 'a', 0)
		handle.noteRate(2, 0)
		const news = ['few', 'few', 'some'].map((text) => handle.noteUnreadableRate(text))
		expect(news).toEqual([true, false, true])
		expect(chosen(board, 0)).toBeUndefined()
	})

	it('does not get a request that was chosen before and waits for a connection', () => {
		const board = boardOf(entry('a'))
		const [first, waiting, other] = [0, 0, 0].map((now) => begin(board, 'a', now))
		first?.noteRate(1, 0)
		expect(waiting?.maySend(10)).toBe(false)
		expect(waiting?.maySend(1_010)).toBe(true)
		expect(other?.maySend(1_010)).toBe(false)
	})

	it('gets another request for one that was counted and did not leave, once', () => {
		const board = boardOf(entry('a'))
		begin(board, 'a', 0).noteRate(1, 0)
		chosen(board, 0)
		const handle = begin(board, 'a', 1_000)
		expect(handle.maySend(1_005)).toBe(true)
		expect(chosen(board, 1_010)).toBeUndefined()
		handle.noteUnsent()
		handle.noteUnsent()
		handle.end('cancelled', 1_010)
		begin(board, 'a', 1_010)
		expect(chosen(board, 1_010)).toBeUndefined()
	})

	it('is free of it in a new life, and not by an entry that runs out and is back', () => {
		const board = boardOf(entry('a', { bornAt: WALL - 60_000 }))
		begin(board, 'a', 0).noteRate(0, 0)
		board.replace([], 100, WALL + 100)
		board.replace(
			[entry('a', { bornAt: WALL - 60_000, revision: { era: 1, number: 5 } })],
			200,
			WALL + 200,
		)
		expect(chosen(board, 200)).toBeUndefined()
		board.replace(
			[entry('a', { bornAt: WALL + 300, revision: { era: 1, number: 6 } })],
			400,
			WALL + 400,
		)
		expect(chosen(board, 400)).toBe('a')
	})

	it('and is cold gets the lower of both', () => {
		const coldStarts = new Map([[SERVICE, { ms: COLD_MS, requestsPerSecond: 100 }]])
		const sent = (perSecond: number): number => {
			const board = boardOf(entry('a', { coldMs: COLD_MS }))
			board.noteRate({ name: entry('a').name, bornAt: undefined }, perSecond, 0)
			board.setColdStarts(coldStarts)
			return sentIn(board, 0, COLD_MS)
		}
		expect(sent(2)).toBeLessThanOrEqual(2 * 3 + 1)
		expect(sent(1_000)).toBeLessThan(300)
	})

	it('is shown to operators, with what this box has of it', () => {
		const board = boardOf(entry('a'))
		begin(board, 'a', 0).noteRate(2, 0)
		const [row] = board.noticeStatuses(250)
		expect(row?.rate).toEqual({
			target: 'a',
			perSecond: 2,
			ageMs: 250,
			share: { perSecond: 2, tokens: 0 },
		})
		expect(board.exhaustedRateLimits(SERVICE, 250).map(({ target }) => target)).toEqual(['a'])
	})
})

describe('words that boxes tell each other', () => {
	it('count by the time at which the target spoke, in whatever order they come', () => {
		const rates = fc.array(
			fc.record({
				perSecond: fc.option(fc.double({ min: 0, max: 9, noNaN: true }), { nil: undefined }),
				saidAt: fc.nat(1_000),
			}),
			{ minLength: 1, maxLength: 12 },
		)
		fc.assert(
			fc.property(rates, (words) => {
				const { name } = entry('a')
				const target = { name, bornAt: undefined }
				const latest = words.reduce((a, b) => (b.saidAt >= a.saidAt ? b : a))
				const board = boardOf(entry('a'))
				board.noteRate(target, 1, -1)
				for (const { perSecond, saidAt } of words) board.noteRate(target, perSecond, saidAt)
				const [row] = board.noticeStatuses(1_000)
				expect(row?.rate?.perSecond).toBe(latest.perSecond)
			}),
			{ seed: 49, numRuns: 500 },
		)
	})
})
