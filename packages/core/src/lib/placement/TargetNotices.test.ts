import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { brandId, type ZoneName } from '../ids.js'
import type { DeclaredWork } from '../traffic/DeclaredWork.js'
import type { AttemptHandle } from './AttemptHandle.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetEntry } from './TargetEntry.js'
import { incarnationOf } from './TargetIncarnation.js'
import { SERVICE, ZONE, entry, query } from './testEntries.js'

const WALL = 1_800_000_000_000
const MINUTE_MS = 60_000

function boardOf(...entries: TargetEntry[]): TargetRegistry {
	const board = new TargetRegistry()
	board.replace(entries, 0, WALL)
	return board
}

/** Sends a request to the target that the board chooses, which must be this one. */
function sendTo(board: TargetRegistry, name: string, now: number): AttemptHandle {
	const place = board.choose(query(), now)
	expect(place?.target.name).toBe(name)
	return board.beginAttempt(place!, undefined, now)
}

/** The same, and the first byte of its answer has come: what the target says stands there. */
function answeredBy(board: TargetRegistry, name: string, now: number): AttemptHandle {
	const handle = sendTo(board, name, now)
	handle.noteByte(now)
	return handle
}

function chosen(board: TargetRegistry, now: number): string | undefined {
	return board.choose(query(), now)?.target.name
}

describe('a target that says in an answer that it leaves', () => {
	it('gets no new work, also where the list goes on saying that it is ready', () => {
		const board = boardOf(entry('a'))
		expect(answeredBy(board, 'a', 0).noteLeaving(10)).toBe(true)
		expect(chosen(board, 10)).toBeUndefined()
		expect(board.closedCause(SERVICE, 10)).toEqual({ cause: 'none', opensInMs: undefined })
		board.replace([entry('a', { revision: { era: 1, number: 7 } })], 20)
		expect(chosen(board, 20)).toBeUndefined()
	})

	it('says it anew in each answer, which is no news', () => {
		const board = boardOf(entry('a'))
		const handle = sendTo(board, 'a', 0)
		expect([handle.noteLeaving(10), handle.noteLeaving(20)]).toEqual([true, false])
	})

	it('does not get a request that was chosen for it before and waits for a connection', () => {
		const board = boardOf(entry('a'))
		const first = sendTo(board, 'a', 0)
		const waiting = sendTo(board, 'a', 0)
		expect(waiting.maySend(9)).toBe(true)
		first.noteLeaving(10)
		expect(waiting.maySend(10)).toBe(false)
	})

	it('gets none when its entry runs out and is back as it was before', () => {
		const board = boardOf(entry('a'))
		answeredBy(board, 'a', 0).noteLeaving(10)
		const { removed: gone } = board.replace([], 20)
		// A planned end: nobody is to blame for what breaks off there.
		expect(gone.map(({ leaving }) => leaving)).toEqual([true])
		board.replace([entry('a', { revision: { era: 1, number: 9 } })], 5 * MINUTE_MS)
		expect(chosen(board, 5 * MINUTE_MS)).toBeUndefined()
	})

	it('says so also in an answer that ends after its entry is gone', () => {
		const board = boardOf(entry('a'))
		const handle = sendTo(board, 'a', 0)
		board.replace([], 5)
		handle.noteLeaving(10)
		board.replace([entry('a')], 20)
		expect(chosen(board, 20)).toBeUndefined()
	})

	it('gets work again after a new start under its name or under another', () => {
		const board = boardOf(entry('a', { bornAt: WALL }))
		answeredBy(board, 'a', 0).noteLeaving(10)
		board.replace([entry('a', { bornAt: WALL + 20 })], 30, WALL + 30)
		expect(chosen(board, 30)).toBe('a')
		expect(board.isAvailable(lifeName('a', WALL + 20), entry('a').name)).toBe(true)
	})

	it('gets none where the new life said it before its entry was read', () => {
		const board = boardOf(entry('a', { bornAt: WALL }))
		// It started again 10 s ago, while the store was away, and answers on the address and under the name of before.
		answeredBy(board, 'a', 20_000).noteLeaving(20_010)
		board.replace([entry('a', { bornAt: WALL + 10_000 })], 21_000, WALL + 21_000)
		expect(chosen(board, 21_000)).toBeUndefined()
	})

	it('gets work again where only the life before said it, and the new one asked for a backoff', () => {
		const board = boardOf(entry('a', { bornAt: WALL }))
		const handle = sendTo(board, 'a', 0)
		handle.noteLeaving(10)
		handle.noteBackoff(3_000, 20_000)
		board.replace([entry('a', { bornAt: WALL + 10_000 })], 21_000, WALL + 21_000)
		expect(chosen(board, 22_999)).toBeUndefined()
		expect(board.closedCause(SERVICE, 22_999)?.cause).toBe('backoff')
		handle.noteByte(23_000)
		expect(chosen(board, 23_000)).toBe('a')
	})

	it('is no longer the home of a prompt', () => {
		const board = boardOf(entry('a'), entry('bb'), entry('ccc'))
		const work = promptOf('session')
		const home = board.choose(query({ work }), 0)!
		board.beginAttempt(home, work, 0).noteLeaving(10)
		const other = board.choose(query({ work }), 20)
		expect(other?.target.name).not.toBe(home.target.name)
		// The whole shared part is believed to be kept at the new home, as on all boxes.
		expect(other?.cost.prefillTokens).toBeLessThan(work.inputTokens)
	})
})

describe('a target that asks a box to send nothing for some time', () => {
	it('gets nothing for so long, and work again after it', () => {
		const board = boardOf(entry('a'))
		expect(answeredBy(board, 'a', 0).noteBackoff(1_500, 10)).toBe(1_510)
		expect(chosen(board, 1_509)).toBeUndefined()
		expect(board.closedCause(SERVICE, 1_000)).toEqual({ cause: 'backoff', opensInMs: 510 })
		expect(chosen(board, 1_510)).toBe('a')
	})

	it('is left alone until the later end of two times that overlap', () => {
		const board = boardOf(entry('a'))
		const handle = answeredBy(board, 'a', 0)
		handle.noteBackoff(3_000, 0)
		handle.noteBackoff(500, 100)
		expect(chosen(board, 2_999)).toBeUndefined()
		handle.noteBackoff(3_000, 200)
		expect(chosen(board, 3_199)).toBeUndefined()
		expect(chosen(board, 3_200)).toBe('a')
	})

	it('is left alone for no time where it asks for none, and for ten minutes at most', () => {
		const board = boardOf(entry('a'))
		const handle = answeredBy(board, 'a', 0)
		handle.noteBackoff(0, 10)
		expect(chosen(board, 10)).toBe('a')
		handle.noteBackoff(1e12, 10)
		expect(chosen(board, 10 * MINUTE_MS)).toBeUndefined()
		expect(chosen(board, 10 * MINUTE_MS + 10)).toBe('a')
	})

	it('does not get a request that was chosen for it before', () => {
		const board = boardOf(entry('a'))
		const first = sendTo(board, 'a', 0)
		const waiting = sendTo(board, 'a', 0)
		first.noteBackoff(1_000, 10)
		expect(waiting.maySend(20)).toBe(false)
	})

	it('is left alone although its entry ran out and is back, and not after a new start', () => {
		const board = boardOf(entry('a', { bornAt: WALL }))
		answeredBy(board, 'a', 0).noteBackoff(9_000, 10)
		board.replace([], 100)
		board.replace([entry('a', { bornAt: WALL, revision: { era: 1, number: 8 } })], 200)
		expect(chosen(board, 200)).toBeUndefined()
		board.replace([entry('a', { bornAt: WALL + 300 })], 400, WALL + 400)
		expect(chosen(board, 400)).toBe('a')
	})

	it('stays the home of its prompts, which go elsewhere meanwhile', () => {
		const board = boardOf(entry('a'), entry('bb'), entry('ccc'))
		const work = promptOf('session')
		const home = board.choose(query({ work }), 0)!
		const handle = board.beginAttempt(home, undefined, 0)
		handle.noteByte(0)
		handle.noteBackoff(1_000, 0)
		expect(board.choose(query({ work }), 10)?.target.name).not.toBe(home.target.name)
		expect(board.choose(query({ work }), 1_000)?.target.name).toBe(home.target.name)
	})

	it('gets one request after the other for a second after it, each once the one before is answered', () => {
		const board = boardOf(entry('a'))
		answeredBy(board, 'a', 0).noteBackoff(1_500, 0)
		const first = sendTo(board, 'a', 1_500)
		expect(chosen(board, 1_510)).toBeUndefined()
		expect(board.closedCause(SERVICE, 1_510)).toEqual({ cause: 'backoff', opensInMs: 0 })
		// It was chosen before the second began, and is not kept back by itself.
		expect(first.maySend(1_510)).toBe(true)
		first.noteByte(1_520)
		sendTo(board, 'a', 1_520)
		expect(chosen(board, 2_499)).toBeUndefined()
		expect(chosen(board, 2_500)).toBe('a')
	})

	it('gets no second request where the first one after it is turned away as well', () => {
		const board = boardOf(entry('a'))
		answeredBy(board, 'a', 0).noteBackoff(1_500, 0)
		answeredBy(board, 'a', 1_500).noteBackoff(1_500, 1_510)
		expect(chosen(board, 3_009)).toBeUndefined()
	})

	it('leaves a service closed until the first of its targets is free again', () => {
		const board = boardOf(entry('a'), entry('bb'), entry('ccc', { leaving: true }))
		answeredBy(board, 'a', 0).noteBackoff(3_000, 0)
		expect(board.closedCause(SERVICE, 0)).toBeUndefined()
		answeredBy(board, 'bb', 0).noteBackoff(1_000, 500)
		expect(board.closedCause(SERVICE, 600)).toEqual({ cause: 'backoff', opensInMs: 900 })
		expect(board.closedCause(SERVICE, 1_500)).toBeUndefined()
	})

	it('closes the service to requests that may not run where others are free', () => {
		const board = boardOf(entry('a'), entry('bb', { zone: brandId<ZoneName>('z2') }))
		answeredBy(board, 'a', 0).noteBackoff(3_000, 0)
		expect(board.closedCause(SERVICE, 0)).toBeUndefined()
		const closed = board.closedCause(SERVICE, 0, (zone) => zone === ZONE)
		expect(closed).toEqual({ cause: 'backoff', opensInMs: 3_000 })
	})
})

describe('words of targets, in any order of words, lists, starts and time', () => {
	const step = fc.oneof(
		fc.record({ kind: fc.constant('leaving' as const), target: fc.nat(2) }),
		fc.record({ kind: fc.constant('backoff' as const), target: fc.nat(2), ms: fc.nat(5_000) }),
		fc.record({ kind: fc.constant('list' as const), listed: fc.subarray([0, 1, 2]) }),
		fc.record({ kind: fc.constant('restart' as const), target: fc.nat(2) }),
		fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(4_000) }),
	)

	it('never let a request go to a life that leaves or is to be left alone', () => {
		fc.assert(
			fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), (steps) => {
				let now = 0
				const born = [0, 0, 0]
				const leaving = [false, false, false]
				const closedUntil = [0, 0, 0]
				const entryOf = (i: number): TargetEntry => entry(`t${i}`, { bornAt: WALL + born[i]! })
				const board = boardOf(entryOf(0), entryOf(1), entryOf(2))
				let listed = [0, 1, 2]
				const handleOf = (i: number): AttemptHandle => {
					const handle = board.beginAttempt(
						{
							target: entryOf(i),
							cost: { ms: 0, expectedMs: 1, prefillTokens: 0 },
							candidates: 1,
							loadAgeMs: -1,
						},
						undefined,
						now,
					)
					handle.noteByte(now)
					return handle
				}
				for (const one of steps) {
					switch (one.kind) {
						case 'leaving':
							handleOf(one.target).noteLeaving(now)
							leaving[one.target] = true
							break
						case 'backoff':
							handleOf(one.target).noteBackoff(one.ms, now)
							closedUntil[one.target] = Math.max(closedUntil[one.target]!, now + one.ms)
							break
						case 'list':
							listed = one.listed
							board.replace(listed.map(entryOf), now, WALL + now)
							break
						case 'restart':
							now++
							born[one.target] = now
							leaving[one.target] = false
							closedUntil[one.target] = 0
							board.replace(listed.map(entryOf), now, WALL + now)
							break
						case 'wait':
							now += one.ms
							break
					}
					const place = board.choose(query(), now)
					const open = listed.filter((i) => !leaving[i] && closedUntil[i]! <= now)
					expect(place !== undefined).toBe(open.length > 0)
					if (place) expect(open.map((i) => `t${i}`)).toContain(place.target.name)
					expect(board.closedCause(SERVICE, now) === undefined).toBe(open.length > 0)
				}
			}),
			{ seed: 46, numRuns: 1_000 },
		)
	})
})

function promptOf(session: string): DeclaredWork {
	const parts = [
		{ id: session, tokens: 8_000 },
		{ id: `${session}-own`, tokens: 1_000 },
	]
	return { inputTokens: 9_000, maxOutputTokens: 50, parts }
}

function lifeName(name: string, bornAt: number) {
	return incarnationOf({ name: entry(name).name, bornAt })
}
