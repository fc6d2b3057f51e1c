import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type TargetName } from '../ids.js'
import { maxCountInWindow } from '../maxCountInWindow.js'
import { coldRateLimit, type ColdLimits, type ColdStart } from './coldRateLimit.js'
import { FleetRateLimiter } from './FleetRateLimiter.js'

const TARGET = brandId<TargetName>('i-1')
const COLD_START: ColdStart = { ms: 3_000, requestsPerSecond: 7.7 }
const LIMITS: ColdLimits = { overrun: 1.5, tolerance: 5 }
const MAX_IN_A_SECOND = COLD_START.requestsPerSecond * LIMITS.overrun + LIMITS.tolerance
const RATE_LIMIT = coldRateLimit(COLD_START, LIMITS)
const SECOND_MS = 1_000
const STEP_MS = 10

function boxNames(count: number): BoxName[] {
	return Array.from({ length: count }, (_, index) => brandId<BoxName>(`box-${index}`))
}

function createLimiter(
	self: BoxName,
	boxes: readonly BoxName[],
	isSettled = true,
): FleetRateLimiter {
	return new FleetRateLimiter({ self, boxes: () => boxes, isSettled: () => isSettled })
}

/** A simulated box, which may restart and may not know the new box yet. */
interface Sender {
	readonly box: BoxName
	readonly boxes: readonly BoxName[]
	readonly restartsAt: number
	limiter: FleetRateLimiter
}

interface Run {
	readonly fleet: number
	/** Index of the new box, which some of the others do not know yet. */
	readonly newBox: number
	/** Every n-th box does not know the new box. */
	readonly unawareInterval: number
	/** When a quarter of the boxes restarts, in ms. */
	readonly restartsAt: number
	/** Requests of every box in successive steps, repeated from the start. */
	readonly bursts: readonly number[]
}

const runs: fc.Arbitrary<Run> = fc.record({
	fleet: fc.constantFrom(75, 499),
	newBox: fc.nat(498),
	unawareInterval: fc.integer({ min: 1, max: 4 }),
	restartsAt: fc.integer({ min: 0, max: 3_000 }),
	bursts: fc.array(fc.nat(20), { minLength: 1, maxLength: 12 }),
})

/** Times at which the boxes send to a cold target, each as soon as its own limiter allows. */
function timesSent(run: Run): number[] {
	const all = boxNames(run.fleet)
	const newBox = all[run.newBox % run.fleet]
	const senders = all.map((box, index): Sender => {
		const isUnaware = index % run.unawareInterval === 0 && box !== newBox
		const boxes = isUnaware ? all.filter((other) => other !== newBox) : all
		const restartsAt = index % 4 === 0 ? run.restartsAt : -1
		return { box, boxes, restartsAt, limiter: createLimiter(box, boxes) }
	})
	const sent: number[] = []
	for (let now = 0; now < COLD_START.ms; now += STEP_MS) {
		const requests = run.bursts[(now / STEP_MS) % run.bursts.length] ?? 0
		for (const sender of senders) {
			if (Math.abs(now - sender.restartsAt) < STEP_MS / 2)
				sender.limiter = createLimiter(sender.box, sender.boxes)
			for (let i = 0; i < requests && sender.limiter.canSend(TARGET, RATE_LIMIT, now); i++) {
				sender.limiter.consume(TARGET, RATE_LIMIT, now)
				sent.push(now)
			}
		}
	}
	return sent
}

describe('the rate limit of a cold target', () => {
	it('keeps the whole fleet within the limits of a cold target in any second, without communication', () => {
		fc.assert(
			fc.property(runs, (run) => {
				expect(maxCountInWindow(timesSent(run), SECOND_MS)).toBeLessThanOrEqual(MAX_IN_A_SECOND)
			}),
			{ seed: 37, numRuns: 60 },
		)
	})

	it('allows most of the rate that a cold target can handle', () => {
		const run = { fleet: 75, newBox: 0, unawareInterval: 4, restartsAt: 4_000, bursts: [5] }
		const capacity = (COLD_START.requestsPerSecond * COLD_START.ms) / SECOND_MS
		expect(timesSent(run).length).toBeGreaterThan(0.8 * capacity)
	})

	it('allows no requests from a box that the others may not know yet', () => {
		const limiter = createLimiter(brandId<BoxName>('box-0'), boxNames(1), false)
		limiter.canSend(TARGET, RATE_LIMIT, 0)
		expect(limiter.canSend(TARGET, RATE_LIMIT, 60_000)).toBe(false)
	})

	it('allows single requests even if the rate is very low', () => {
		const limiter = createLimiter(brandId<BoxName>('box-0'), boxNames(1))
		const slow = coldRateLimit({ ms: 3_000, requestsPerSecond: 0.5 }, { overrun: 1, tolerance: 0 })
		expect(limiter.canSend(TARGET, slow, 0)).toBe(false)
		expect(limiter.canSend(TARGET, slow, 10_000)).toBe(true)
	})
})
