import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type TargetName } from '../ids.js'
import { seededRandom } from '../testRandom.js'
import { FleetRateLimiter, type FleetRateLimit } from './FleetRateLimiter.js'
import { advertisedRateLimit } from './advertisedRateLimit.js'
import { simulateFleetRate, type FleetRateSimulationOptions } from './fleetRateSimulation.js'

/** What a target in need bears in the window of the model: half as much again as it named, and five requests. */
function mostBorne(perSecond: number): number {
	return 1.5 * perSecond * 4 + 5
}

/** The division of a rate, without trials of boxes that have not heard of it for long. */
function divided(perSecond: number): FleetRateLimit {
	return { ...advertisedRateLimit({ perSecond, saidAt: 0 }), probe: undefined }
}

/** Two senders for each target, or one. */
function dividedBy(senders: number, perSecond: number): FleetRateLimit {
	const division = { senders, perSecond: perSecond / senders, burst: 1, isSpaced: true }
	return { allocate: () => division, probe: undefined }
}

const CALM: Omit<FleetRateSimulationOptions, 'rate'> = {
	boxes: 7,
	targets: 1,
	requestsPerSecondPerBox: 4,
	random: seededRandom(49),
	newBoxes: 0,
	downBoxes: 0,
	restartsAt: 0,
	demandStartsAt: 0,
}

describe('the rate that a target names for all boxes together', () => {
	it.each([
		[7, 0.25],
		[7, 1.4],
		[7, 10],
		[75, 0.25],
		[75, 1.4],
		[75, 10],
		[75, 50],
		[499, 0.25],
		[499, 1.4],
		[499, 50],
	])('is kept and used by %i boxes where it is %d a second', (boxes, perSecond) => {
		const rate = divided(perSecond)
		const calm = simulateFleetRate({ ...CALM, boxes, rate })
		const enough = Math.min(perSecond, (CALM.requestsPerSecondPerBox * boxes) / 2)
		expect(calm.maxInWindow).toBeLessThanOrEqual(mostBorne(perSecond))
		expect(calm.perSecond).toBeLessThanOrEqual(perSecond)
		expect(calm.perSecond).toBeGreaterThan(0.7 * enough)
		const restless = simulateFleetRate({ ...CALM, boxes, rate, newBoxes: 1, restartsAt: 20_000 })
		expect(restless.maxInWindow).toBeLessThanOrEqual(mostBorne(perSecond))
		const rested = simulateFleetRate({ ...CALM, boxes, rate, newBoxes: 1, demandStartsAt: 20_000 })
		expect(rested.maxInWindow).toBeLessThanOrEqual(mostBorne(perSecond))
	})

	it('leaves fewer boxes without a target than one or two senders for each, where all of a service name it', () => {
		const play = (rate: FleetRateLimit): number =>
			simulateFleetRate({
				...CALM,
				boxes: 75,
				targets: 63,
				requestsPerSecondPerBox: 12,
				downBoxes: 10,
				rate,
			}).starvedFraction
		expect(play(divided(1.4))).toBeLessThan(play(dividedBy(2, 1.4)))
		expect(play(dividedBy(2, 1.4))).toBeLessThan(play(dividedBy(1, 1.4)))
	})

	it('would be too much if each of many boxes had a request at once', () => {
		const rate = dividedBy(75, 10)
		const rested = simulateFleetRate({ ...CALM, boxes: 75, rate, demandStartsAt: 20_000 })
		expect(rested.maxInWindow).toBeGreaterThan(mostBorne(10))
	})
})

const TARGET = brandId<TargetName>('i-1')
const MINUTE_MS = 60_000
/** Senders for a target that names one request a second: (5 + 1) x (4 / 5 + 1) <= 11, and 6 would be too many. */
const SENDERS = 5

function gatesOf(boxes: number): FleetRateLimiter[] {
	const all = Array.from({ length: boxes }, (_, i) => brandId<BoxName>(`box-${i}`))
	return all.map((self) => new FleetRateLimiter({ self, boxes: () => all, isSettled: () => true }))
}

describe('a rate of which nothing is heard', () => {
	it('is tried with one request by boxes that may not send, at times of their own', () => {
		const gates = gatesOf(75)
		const rate = advertisedRateLimit({ perSecond: 1, saidAt: 0 })
		const isTrying = (gate: FleetRateLimiter, now: number): boolean =>
			gate.shareOf(TARGET, rate, now).perSecond === 0 && gate.canSend(TARGET, rate, now)
		expect(gates.filter((gate) => isTrying(gate, 5_000))).toEqual([])
		const soon = gates.filter((gate) => isTrying(gate, 6_000)).length
		expect(soon).toBeGreaterThan(5)
		expect(soon).toBeLessThan(25)
		expect(gates.filter((gate) => isTrying(gate, 10_000))).toHaveLength(75 - SENDERS)
		const [trying] = gates.filter((gate) => isTrying(gate, 10_000))
		trying?.consume(TARGET, rate, 10_000)
		expect(trying?.canSend(TARGET, rate, 10_000)).toBe(false)
	})

	it('of 0 is looked at all the same, and one of next to nothing once a minute', () => {
		const [gate] = gatesOf(1)
		const none = advertisedRateLimit({ perSecond: 0, saidAt: 0 })
		expect([4_999, 10_000].map((now) => gate?.canSend(TARGET, none, now))).toEqual([false, true])
		const nextToNone = advertisedRateLimit({ perSecond: 0.0001, saidAt: 0 })
		const [, other] = gatesOf(20).filter(
			(known) => known.shareOf(TARGET, nextToNone, 0).perSecond === 0,
		)
		expect(other?.canSend(TARGET, nextToNone, MINUTE_MS - 1)).toBe(false)
		expect(other?.canSend(TARGET, nextToNone, MINUTE_MS + 5_000)).toBe(true)
	})

	it('leaves no debt of trials behind for the rate that comes after it', () => {
		const [gate] = gatesOf(1)
		for (let now = 0; now <= MINUTE_MS; now += 10_000)
			gate?.consume(TARGET, advertisedRateLimit({ perSecond: 0, saidAt: now - 10_000 }), now)
		const next = advertisedRateLimit({ perSecond: 1, saidAt: MINUTE_MS })
		expect(gate?.nextSendAt(TARGET, next, MINUTE_MS)).toBeLessThanOrEqual(MINUTE_MS + 1_000)
	})

	it('is never tried before the box is known to the others', () => {
		const boxes = [brandId<BoxName>('box-0')]
		const gate = new FleetRateLimiter({
			self: brandId<BoxName>('box-0'),
			boxes: () => boxes,
			isSettled: () => false,
		})
		const rate = advertisedRateLimit({ perSecond: 9, saidAt: 0 })
		expect([0, MINUTE_MS].map((now) => gate.canSend(TARGET, rate, now))).toEqual([false, false])
	})
})

describe('a request that was counted and did not leave', () => {
	it('is given back', () => {
		const [gate] = gatesOf(1)
		const rate = advertisedRateLimit({ perSecond: 1, saidAt: 0 })
		gate?.canSend(TARGET, rate, 0)
		expect(gate?.canSend(TARGET, rate, 1_000)).toBe(true)
		gate?.consume(TARGET, rate, 1_000)
		expect(gate?.canSend(TARGET, rate, 1_000)).toBe(false)
		gate?.refund(TARGET)
		gate?.refund(TARGET)
		expect(gate?.shareOf(TARGET, rate, 1_000).tokens).toBe(1)
	})
})
