import { brandId, type TargetName } from '@stallwing/core'
import * as fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { decodeRates, encodeRates } from './rateCodec.js'
import { RateFleet, TARGET } from './testRateFleet.js'

const RATE = 1.4
const WINDOW_MS = 4_000
/** Requests that a target tolerates in a window: 1.5 times the advertised rate, and five more. */
const MAX_REQUESTS_IN_WINDOW = 13
const STEP_MS = 20

/** Sends requests to the boxes in turn, `perBox` requests a second to each. */
function simulate(fleet: RateFleet, boxes: number, durationMs: number, perBox: number): void {
	let due = 0
	let next = 0
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
		due += (boxes * perBox * STEP_MS) / 1_000
		for (; due >= 1; due--) fleet.sendRequest(next++ % boxes)
		vi.advanceTimersByTime(STEP_MS)
	}
}

describe('RateSharing', () => {
	let fleet: RateFleet
	let advertised: number | undefined
	beforeEach(() => {
		vi.useFakeTimers({ now: 0 })
		advertised = RATE
	})
	afterEach(() => {
		fleet.stop()
		vi.useRealTimers()
	})

	it.each([7, 75, 499])('limits the rate before each of %i boxes has sent a request', (boxes) => {
		const countRequests = (areConnected: boolean): number => {
			fleet = new RateFleet({
				boxCount: boxes,
				advertisedRate: () => advertised,
				areConnected: () => areConnected,
			})
			simulate(fleet, boxes, WINDOW_MS, 4)
			return fleet.requests.length
		}
		expect(countRequests(false)).toBeGreaterThanOrEqual(boxes)
		// Requests sent before the first response arrives are not limited.
		const inProgress = boxes * 4 * 0.1
		expect(countRequests(true)).toBeLessThanOrEqual(inProgress + MAX_REQUESTS_IN_WINDOW)
	})

	it.each([7, 75, 499])('keeps %i boxes together within the rate and uses most of it', (boxes) => {
		fleet = new RateFleet({ boxCount: boxes, advertisedRate: () => advertised })
		simulate(fleet, boxes, 20_000, 4)
		expect(fleet.maxRequestsIn(WINDOW_MS, 1_000)).toBeLessThanOrEqual(MAX_REQUESTS_IN_WINDOW)
		const later = fleet.requests.filter(({ at }) => at > 4_000).length
		expect(later).toBeGreaterThan(0.7 * RATE * 16)
		expect(later).toBeLessThanOrEqual(RATE * 16 + 6)
	})

	it.each([7, 75, 499])('tells %i boxes when the target no longer advertises a rate', (boxes) => {
		fleet = new RateFleet({ boxCount: boxes, advertisedRate: () => advertised })
		simulate(fleet, boxes, 6_000, 4)
		expect(fleet.unlimitedBoxCount).toBe(0)
		advertised = undefined
		simulate(fleet, boxes, 1_500, 4)
		expect(fleet.unlimitedBoxCount).toBe(boxes)
	})

	it.each([0, 0.25, 50])('applies a changed rate of %d requests a second, and its end', (other) => {
		fleet = new RateFleet({ boxCount: 7, advertisedRate: () => advertised })
		simulate(fleet, 7, 5_000, 4)
		advertised = other
		simulate(fleet, 7, 12_000, 4)
		const since = fleet.requests.filter(({ at }) => at > 9_000 && at <= 17_000).length
		expect(since).toBeLessThanOrEqual(other * 8 + 6)
		advertised = undefined
		simulate(fleet, 7, 15_000, 4)
		expect(fleet.unlimitedBoxCount).toBe(7)
	})

	it('lets a partitioned box learn the end of the rate by probing the target', () => {
		let isPartitioned = false
		fleet = new RateFleet({
			boxCount: 75,
			advertisedRate: () => advertised,
			areConnected: () => !isPartitioned,
		})
		simulate(fleet, 75, 6_000, 4)
		isPartitioned = true
		simulate(fleet, 75, 3_000, 4)
		const before = fleet.requests.length
		simulate(fleet, 75, 20_000, 4)
		// Each partitioned box sends one probe in 5 to 10 s.
		expect(fleet.requests.length - before).toBeLessThan(75 * 4 + RATE * 20)
		advertised = undefined
		simulate(fleet, 75, 11_000, 4)
		expect(fleet.unlimitedBoxCount).toBe(75)
	})

	it('sends nothing if no target advertises a rate', () => {
		advertised = undefined
		fleet = new RateFleet({ boxCount: 7, advertisedRate: () => advertised })
		simulate(fleet, 7, 5_000, 4)
		expect([fleet.datagramCount, fleet.logEvents.length]).toEqual([0, 0])
	})

	it('repeats an unchanged rate a few times in 10 s and logs it once at each box', () => {
		fleet = new RateFleet({ boxCount: 499, advertisedRate: () => advertised })
		simulate(fleet, 499, 2_000, 1)
		const [datagrams, bytes] = [fleet.datagramCount, fleet.byteCount]
		simulate(fleet, 499, 10_000, 1)
		expect(fleet.datagramCount - datagrams).toBeLessThanOrEqual(6 * 498)
		expect((fleet.byteCount - bytes) / 10).toBeLessThan(20_000)
		expect(fleet.logEvents.length).toBeLessThanOrEqual(499)
	})
})

describe('rateCodec', () => {
	const name = brandId<TargetName>('t')

	it('decodes what it encoded, with times on the clock of the receiver', () => {
		const reports = [
			{ name, bornAt: TARGET.bornAt, perSecond: 1.3, reportedAt: 90 },
			{ name, bornAt: undefined, perSecond: undefined, reportedAt: 100 },
		]
		const decoded = decodeRates(Buffer.from(encodeRates(reports, 100)), 5_000)
		expect(decoded).toEqual([
			{ ...reports[0], reportedAt: 4_990 },
			{ ...reports[1], reportedAt: 5_000 },
		])
	})

	it('skips malformed rows and rejects other messages', () => {
		const text =
			'{"rates":[["a",1,2,3],["b",1,-2,3],["",1,2,3],["c",1,2,-3],["d",1,"2",3],["e",1,2],null,["f",null,null,0]]}'
		expect(decodeRates(Buffer.from(text), 0)?.map((report) => report.name)).toEqual(['a', 'f'])
		for (const other of ['', '{"rates":', '{"rates":7}', '{"leaving":[]}', 'null'])
			expect(decodeRates(Buffer.from(other), 0)).toBeUndefined()
	})

	it('never throws', () => {
		fc.assert(
			fc.property(fc.uint8Array(), (bytes) => {
				decodeRates(Buffer.concat([Buffer.from('{"rates":'), bytes]), 0)
				return true
			}),
			{ seed: 49, numRuns: 2_000 },
		)
	})
})
