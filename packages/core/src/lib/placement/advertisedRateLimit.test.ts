import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type TargetName } from '../ids.js'
import { seededRandom } from '../testRandom.js'
import { FleetRateLimiter, type FleetRateLimit } from './FleetRateLimiter.js'
import { advertisedRateLimit } from './advertisedRateLimit.js'
import { simulateFleetRate, type FleetRateSimulationOptions } from './fleetRateSimulation.js'

/** Requests that an overloaded target can take in the window of the simulation: 1.5 times the advertised rate plus five. */
function maxTolerated(perSecond: number): number {
	return 1.5 * perSecond * 4 + 5
}

/** An advertised rate limit without probes. */
function limitWithoutProbes(perSecond: number): FleetRateLimit {
	return { ...advertisedRateLimit({ perSecond, reportedAt: 0 }), probe: undefined }
}

/** A rate limit divided among a fixed number of senders. */
function limitWithSenders(senders: number, perSecond: number): FleetRateLimit {
	const allocation = { senders, perSecond: perSecond / senders, burst: 1, isStaggered: true }
	return { allocate: () => allocation, probe: undefined }
}

const STABLE_FLEET: Omit<FleetRateSimulationOptions, 'rate'> = {
	boxes: 7,
	targets: 1,
	requestsPerSecondPerBox: 4,
	random: seededRandom(49),
	newBoxes: 0,
	downBoxes: 0,
	restartsAt: 0,
	demandStartsAt: 0,
}

describe('a rate limit that a target advertises for all boxes together', () => {
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
	])(
		'is neither exceeded nor left unused by %i boxes at %d requests per second',
		(boxes, perSecond) => {
			const rate = limitWithoutProbes(perSecond)
			const stable = simulateFleetRate({ ...STABLE_FLEET, boxes, rate })
			const usableRate = Math.min(perSecond, (STABLE_FLEET.requestsPerSecondPerBox * boxes) / 2)
			expect(stable.maxInWindow).toBeLessThanOrEqual(maxTolerated(perSecond))
			expect(stable.perSecond).toBeLessThanOrEqual(perSecond)
			expect(stable.perSecond).toBeGreaterThan(0.7 * usableRate)
			const restarted = simulateFleetRate({
				...STABLE_FLEET,
				boxes,
				rate,
				newBoxes: 1,
				restartsAt: 20_000,
			})
			expect(restarted.maxInWindow).toBeLessThanOrEqual(maxTolerated(perSecond))
			const withFullBuckets = simulateFleetRate({
				...STABLE_FLEET,
				boxes,
				rate,
				newBoxes: 1,
				demandStartsAt: 20_000,
			})
			expect(withFullBuckets.maxInWindow).toBeLessThanOrEqual(maxTolerated(perSecond))
		},
	)

	it('leaves fewer boxes without a target than one or two senders per target would', () => {
		const starvedFraction = (rate: FleetRateLimit): number =>
			simulateFleetRate({
				...STABLE_FLEET,
				boxes: 75,
				targets: 63,
				requestsPerSecondPerBox: 12,
				downBoxes: 10,
				rate,
			}).starvedFraction
		expect(starvedFraction(limitWithoutProbes(1.4))).toBeLessThan(
			starvedFraction(limitWithSenders(2, 1.4)),
		)
		expect(starvedFraction(limitWithSenders(2, 1.4))).toBeLessThan(
			starvedFraction(limitWithSenders(1, 1.4)),
		)
	})

	it('would be exceeded if each of many boxes were a sender', () => {
		const rate = limitWithSenders(75, 10)
		const withFullBuckets = simulateFleetRate({
			...STABLE_FLEET,
			boxes: 75,
			rate,
			demandStartsAt: 20_000,
		})
		expect(withFullBuckets.maxInWindow).toBeGreaterThan(maxTolerated(10))
	})
})

const TARGET = brandId<TargetName>('i-1')
const MINUTE_MS = 60_000
/** Senders for a rate of 1 request per second: (5 + 1) * (4 / 5 + 1) <= 11, which 6 senders would exceed. */
const SENDERS = 5

function limitersOf(boxes: number): FleetRateLimiter[] {
	const all = Array.from({ length: boxes }, (_, i) => brandId<BoxName>(`box-${i}`))
	return all.map((self) => new FleetRateLimiter({ self, boxes: () => all, isSettled: () => true }))
}

describe('a rate limit that is not reported any longer', () => {
	it('is probed with one request by each box without a share, at different times', () => {
		const limiters = limitersOf(75)
		const rate = advertisedRateLimit({ perSecond: 1, reportedAt: 0 })
		const isProbing = (limiter: FleetRateLimiter, now: number): boolean =>
			limiter.shareOf(TARGET, rate, now).perSecond === 0 && limiter.canSend(TARGET, rate, now)
		expect(limiters.filter((limiter) => isProbing(limiter, 5_000))).toEqual([])
		const early = limiters.filter((limiter) => isProbing(limiter, 6_000)).length
		expect(early).toBeGreaterThan(5)
		expect(early).toBeLessThan(25)
		expect(limiters.filter((limiter) => isProbing(limiter, 10_000))).toHaveLength(75 - SENDERS)
		const [probing] = limiters.filter((limiter) => isProbing(limiter, 10_000))
		probing?.consume(TARGET, rate, 10_000)
		expect(probing?.canSend(TARGET, rate, 10_000)).toBe(false)
	})

	it('is probed even if it is 0, and once a minute if it is very low', () => {
		const [limiter] = limitersOf(1)
		const zero = advertisedRateLimit({ perSecond: 0, reportedAt: 0 })
		expect([4_999, 10_000].map((now) => limiter?.canSend(TARGET, zero, now))).toEqual([false, true])
		const veryLow = advertisedRateLimit({ perSecond: 0.0001, reportedAt: 0 })
		const [, boxWithoutShare] = limitersOf(20).filter(
			(candidate) => candidate.shareOf(TARGET, veryLow, 0).perSecond === 0,
		)
		expect(boxWithoutShare?.canSend(TARGET, veryLow, MINUTE_MS - 1)).toBe(false)
		expect(boxWithoutShare?.canSend(TARGET, veryLow, MINUTE_MS + 5_000)).toBe(true)
	})

	it('leaves no negative balance from probes for the next limit', () => {
		const [limiter] = limitersOf(1)
		for (let now = 0; now <= MINUTE_MS; now += 10_000)
			limiter?.consume(TARGET, advertisedRateLimit({ perSecond: 0, reportedAt: now - 10_000 }), now)
		const next = advertisedRateLimit({ perSecond: 1, reportedAt: MINUTE_MS })
		expect(limiter?.nextSendAt(TARGET, next, MINUTE_MS)).toBeLessThanOrEqual(MINUTE_MS + 1_000)
	})

	it('is not probed before the other boxes know this box', () => {
		const boxes = [brandId<BoxName>('box-0')]
		const limiter = new FleetRateLimiter({
			self: brandId<BoxName>('box-0'),
			boxes: () => boxes,
			isSettled: () => false,
		})
		const rate = advertisedRateLimit({ perSecond: 9, reportedAt: 0 })
		expect([0, MINUTE_MS].map((now) => limiter.canSend(TARGET, rate, now))).toEqual([false, false])
	})
})

describe('a request that was counted and not sent', () => {
	it('is refunded', () => {
		const [limiter] = limitersOf(1)
		const rate = advertisedRateLimit({ perSecond: 1, reportedAt: 0 })
		limiter?.canSend(TARGET, rate, 0)
		expect(limiter?.canSend(TARGET, rate, 1_000)).toBe(true)
		limiter?.consume(TARGET, rate, 1_000)
		expect(limiter?.canSend(TARGET, rate, 1_000)).toBe(false)
		limiter?.refund(TARGET)
		limiter?.refund(TARGET)
		expect(limiter?.shareOf(TARGET, rate, 1_000).tokens).toBe(1)
	})
})
