import { brandId, type TargetName } from '@stallwing/core'
import * as fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { decodeRates, encodeRates } from './rateCodec.js'
import { RateFleet, TARGET } from './testRateFleet.js'

const RATE = 1.4
const WINDOW_MS = 4_000
/** What a target in need bears in the window: half as much again as it names, and five requests. */
const MAX_REQUESTS_IN_WINDOW = 13
const STEP_MS = 20

/** A request comes to one box after the other, so many in a second at each. */
function simulate(fleet: RateFleet, boxes: number, forMs: number, perBox: number): void {
	let owed = 0
	let next = 0
	for (let spent = 0; spent < forMs; spent += STEP_MS) {
		owed += (boxes * perBox * STEP_MS) / 1_000
		for (; owed >= 1; owed--) fleet.sendRequest(next++ % boxes)
		vi.advanceTimersByTime(STEP_MS)
	}
}

describe('RateSharing', () => {
	let fleet: RateFleet
	let named: number | undefined
	beforeEach(() => {
		vi.useFakeTimers({ now: 0 })
		named = RATE
	})
	afterEach(() => {
		fleet.stop()
		vi.useRealTimers()
	})

	it.each([7, 75, 499])('spares a target one request of each of %i boxes', (boxes) => {
		const askAll = (areInTouch: boolean): number => {
			fleet = new RateFleet({
				boxCount: boxes,
				advertisedRate: () => named,
				areConnected: () => areInTouch,
			})
			simulate(fleet, boxes, WINDOW_MS, 4)
			return fleet.requests.length
		}
		expect(askAll(false)).toBeGreaterThanOrEqual(boxes)
		// What is under way when the first answer tells, and what the target named.
		const underWay = boxes * 4 * 0.1
		expect(askAll(true)).toBeLessThanOrEqual(underWay + MAX_REQUESTS_IN_WINDOW)
	})

	it.each([7, 75, 499])('keeps all of %i boxes to the rate, and uses most of it', (boxes) => {
		fleet = new RateFleet({ boxCount: boxes, advertisedRate: () => named })
		simulate(fleet, boxes, 20_000, 4)
		expect(fleet.maxRequestsIn(WINDOW_MS, 1_000)).toBeLessThanOrEqual(MAX_REQUESTS_IN_WINDOW)
		const later = fleet.requests.filter(({ at }) => at > 4_000).length
		expect(later).toBeGreaterThan(0.7 * RATE * 16)
		expect(later).toBeLessThanOrEqual(RATE * 16 + 6)
	})

	it.each([7, 75, 499])('tells %i boxes when the target names none any more', (boxes) => {
		fleet = new RateFleet({ boxCount: boxes, advertisedRate: () => named })
		simulate(fleet, boxes, 6_000, 4)
		expect(fleet.unlimitedBoxCount).toBe(0)
		named = undefined
		simulate(fleet, boxes, 1_500, 4)
		expect(fleet.unlimitedBoxCount).toBe(boxes)
	})

	it.each([0, 0.25, 50])('follows a target that names %d instead, and its end', (other) => {
		fleet = new RateFleet({ boxCount: 7, advertisedRate: () => named })
		simulate(fleet, 7, 5_000, 4)
		named = other
		simulate(fleet, 7, 12_000, 4)
		const since = fleet.requests.filter(({ at }) => at > 9_000 && at <= 17_000).length
		expect(since).toBeLessThanOrEqual(other * 8 + 6)
		named = undefined
		simulate(fleet, 7, 15_000, 4)
		expect(fleet.unlimitedBoxCount).toBe(7)
	})

	it('lets a box that heard nothing of the end find out by itself, with one request at a time', () => {
		let isApart = false
		fleet = new RateFleet({
			boxCount: 75,
			advertisedRate: () => named,
			areConnected: () => !isApart,
		})
		simulate(fleet, 75, 6_000, 4)
		isApart = true
		simulate(fleet, 75, 3_000, 4)
		const before = fleet.requests.length
		simulate(fleet, 75, 20_000, 4)
		// Each box tries one request in 5 to 10 s, as long as no box hears another.
		expect(fleet.requests.length - before).toBeLessThan(75 * 4 + RATE * 20)
		named = undefined
		simulate(fleet, 75, 11_000, 4)
		expect(fleet.unlimitedBoxCount).toBe(75)
	})

	it('says nothing where no target names a rate', () => {
		named = undefined
		fleet = new RateFleet({ boxCount: 7, advertisedRate: () => named })
		simulate(fleet, 7, 5_000, 4)
		expect([fleet.datagramCount, fleet.logEvents.length]).toEqual([0, 0])
	})

	it('says a rate that stays the same some times in 10 s, with one line at each box', () => {
		fleet = new RateFleet({ boxCount: 499, advertisedRate: () => named })
		simulate(fleet, 499, 2_000, 1)
		const [datagrams, bytes] = [fleet.datagramCount, fleet.byteCount]
		simulate(fleet, 499, 10_000, 1)
		expect(fleet.datagramCount - datagrams).toBeLessThanOrEqual(6 * 498)
		expect((fleet.byteCount - bytes) / 10).toBeLessThan(20_000)
		expect(fleet.logEvents.length).toBeLessThanOrEqual(499)
	})
})

describe('words about rates', () => {
	const name = brandId<TargetName>('t')

	it('come back as they were sent, with times of the box that hears them', () => {
		const words = [
			{ name, bornAt: TARGET.bornAt, perSecond: 1.3, reportedAt: 90 },
			{ name, bornAt: undefined, perSecond: undefined, reportedAt: 100 },
		]
		const heard = decodeRates(Buffer.from(encodeRates(words, 100)), 5_000)
		expect(heard).toEqual([
			{ ...words[0], reportedAt: 4_990 },
			{ ...words[1], reportedAt: 5_000 },
		])
	})

	it('leave out rows that can not be read, and are none where the bytes are something else', () => {
		const text =
			'{"rates":[["a",1,2,3],["b",1,-2,3],["",1,2,3],["c",1,2,-3],["d",1,"2",3],["e",1,2],null,["f",null,null,0]]}'
		expect(decodeRates(Buffer.from(text), 0)?.map((word) => word.name)).toEqual(['a', 'f'])
		for (const other of ['', '{"rates":', '{"rates":7}', '{"leaving":[]}', 'null'])
			expect(decodeRates(Buffer.from(other), 0)).toBeUndefined()
	})

	it('never throw, whatever the bytes', () => {
		fc.assert(
			fc.property(fc.uint8Array(), (bytes) => {
				decodeRates(Buffer.concat([Buffer.from('{"rates":'), bytes]), 0)
				return true
			}),
			{ seed: 49, numRuns: 2_000 },
		)
	})
})
