import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type ServiceName, type TargetName, type ZoneName } from '../ids.js'
import type { StatedWork } from '../traffic/StatedWork.js'
import { TargetBoard, type PlaceQuery } from './TargetBoard.js'
import type { TargetEntry } from './TargetEntry.js'

const SERVICE = brandId<ServiceName>('engine')
const ZONE = brandId<ZoneName>('z1')

function entry(name: string, changes: Partial<TargetEntry> = {}): TargetEntry {
	return {
		name: brandId<TargetName>(name),
		service: SERVICE,
		address: `10.0.0.1:${name.length}`,
		zone: ZONE,
		slots: 8,
		leaving: false,
		coldMs: 0,
		revision: 1,
		...changes,
	}
}

function query(changes: Partial<PlaceQuery> = {}): PlaceQuery {
	return {
		service: SERVICE,
		zone: ZONE,
		work: undefined,
		tried: new Set(),
		isFull: () => false,
		...changes,
	}
}

function prompt(session: string, own: string): StatedWork {
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

function boardOf(...entries: TargetEntry[]): TargetBoard {
	const board = new TargetBoard()
	board.replace(entries, 0)
	return board
}

describe('TargetBoard', () => {
	it('gives no new work to targets that leave, are gone, were tried, or are full', () => {
		const board = boardOf(entry('a'), entry('bb', { leaving: true }), entry('ccc'))
		board.replace([entry('a'), entry('bb', { leaving: true })], 1)
		expect(board.choose(query(), 1)?.target.name).toBe('a')
		const tried = new Set([brandId<TargetName>('a')])
		expect(board.choose(query({ tried }), 1)).toBeUndefined()
		expect(board.choose(query({ isFull: () => true }), 1)).toBeUndefined()
	})

	it('tells what joined, leaves and is gone', () => {
		const board = boardOf(entry('a'), entry('bb'))
		const changes = board.replace([entry('a', { leaving: true }), entry('ccc')], 1)
		expect(changes.joined.map((target) => target.name)).toEqual(['ccc'])
		expect(changes.leaving.map((target) => target.name)).toEqual(['a'])
		expect(changes.gone.map((target) => target.name)).toEqual(['bb'])
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
		const busy = [{ target: home!.target.name, unreadTokens: 90_000, open: 10 }]
		board.notePeerWork(brandId<BoxName>('other'), busy, 0)
		expect(board.choose(query({ work }), 1)?.target.name).not.toBe(home?.target.name)
		expect(board.choose(query({ work }), 5_000)?.target.name).toBe(home?.target.name)
	})

	it('leaves a target alone that can not be reached, and tries it again later', () => {
		const board = boardOf(entry('a'), entry('bb', { zone: brandId<ZoneName>('z2') }))
		const place = board.choose(query(), 0)
		expect(place?.target.name).toBe('a')
		board.begin(place!, undefined, 0).end('unreachable', 0)
		expect(board.choose(query(), 1)?.target.name).toBe('bb')
		expect(board.choose(query(), 60_000)?.target.name).toBe('a')
	})

	it('turns away from a target that stays silent', () => {
		const board = boardOf(entry('a'), entry('bb', { zone: brandId<ZoneName>('z2') }))
		const place = board.choose(query(), 0)
		const attempt = board.begin(place!, undefined, 0)
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
				const tried = new Set([brandId<TargetName>(name === 'a' ? 'bb' : 'a')])
				board.begin(board.choose(query({ tried }), i)!, undefined, i).end('failed', i)
			}
		}
		const even = board.choose(query(), 10)!
		expect(even.cost.ms).toBeLessThan(100)
	})

	it('sums the work of the boxes that are asked for, while their word is fresh', () => {
		const board = new TargetBoard()
		board.replace([entry('a')], 0)
		const row = (open: number) => [
			{ target: brandId<TargetName>('a'), unreadTokens: 100 * open, open },
		]
		board.notePeerWork(brandId<BoxName>('box-1'), row(1), 0)
		board.notePeerWork(brandId<BoxName>('box-2'), row(2), 0)
		expect(board.workOf(() => true, 10)).toEqual(row(3))
		expect(board.workOf((box) => box === 'box-2', 10)).toEqual(row(2))
		expect(board.workOf(() => true, 5_000)).toEqual([])
	})
})
