import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type TargetName } from '../ids.js'
import { maxCountInWindow } from '../maxCountInWindow.js'
import { coldRateLimit, type ColdLimits, type ColdStart } from './coldRateLimit.js'
import { FleetRateLimiter } from './FleetRateLimiter.js'

const TARGET = brandId<TargetName>('i-1')
const COLD_START: ColdStart = { ms: 3_000, requestsPerSecond: 7.7 }
const LIMITS: ColdLimits = { overrun: 1.5, tolerance: 5 }
const MOST_IN_A_SECOND = COLD_START.requestsPerSecond * LIMITS.overrun + LIMITS.tolerance
const RATE = coldRateLimit(COLD_START, LIMITS)
const SECOND_MS = 1_000
const STEP_MS = 10

function boxNames(count: number): BoxName[] {
	return Array.from({ length: count }, (_, index) => brandId<BoxName>(`box-${index}`))
}

function gateOf(self: BoxName, boxes: readonly BoxName[], isSettled = true): FleetRateLimiter {
	return new FleetRateLimiter({ self, boxes: () => boxes, isSettled: () => isSettled })
}

/** One box of a run, which may start anew and may not know one of the others yet. */
interface Sender {
	readonly box: BoxName
	readonly boxes: readonly BoxName[]
	readonly restartsAt: number
	gate: FleetRateLimiter
}

interface Run {
	readonly fleet: number
	/** The box that a part of the others does not know of yet. */
	readonly newcomer: number
	/** Each so many of the boxes does not know the newcomer. */
	readonly unawareEach: number
	/** When a quarter of the boxes starts anew, in ms. */
	readonly restartsAt: number
	/** Requests of every box at each step, in turn: bursts and pauses. */
	readonly bursts: readonly number[]
}

const runs: fc.Arbitrary<Run> = fc.record({
	fleet: fc.constantFrom(75, 499),
	newcomer: fc.nat(498),
	unawareEach: fc.integer({ min: 1, max: 4 }),
	restartsAt: fc.integer({ min: 0, max: 3_000 }),
	bursts: fc.array(fc.nat(20), { minLength: 1, maxLength: 12 }),
})

/** When requests left for a cold target that all boxes want to send to at once, and hear nothing of each other. */
function timesSent(run: Run): number[] {
	const all = boxNames(run.fleet)
	const newcomer = all[run.newcomer % run.fleet]
	const senders = all.map((box, index): Sender => {
		const isUnaware = index % run.unawareEach === 0 && box !== newcomer
		const boxes = isUnaware ? all.filter((other) => other !== newcomer) : all
		const restartsAt = index % 4 === 0 ? run.restartsAt : -1
		return { box, boxes, restartsAt, gate: gateOf(box, boxes) }
	})
	const sent: number[] = []
	for (let now = 0; now < COLD_START.ms; now += STEP_MS) {
		const wanted = run.bursts[(now / STEP_MS) % run.bursts.length] ?? 0
		for (const sender of senders) {
			if (Math.abs(now - sender.restartsAt) < STEP_MS / 2)
				sender.gate = gateOf(sender.box, sender.boxes)
			for (let i = 0; i < wanted && sender.gate.canSend(TARGET, RATE, now); i++) {
				sender.gate.consume(TARGET, RATE, now)
				sent.push(now)
			}
		}
	}
	return sent
}

describe('the rate of a cold target', () => {
	it('keeps the whole fleet below what a cold target may get in any second, without a word between boxes', () => {
		fc.assert(
			fc.property(runs, (run) => {
				expect(maxCountInWindow(timesSent(run), SECOND_MS)).toBeLessThanOrEqual(MOST_IN_A_SECOND)
			}),
			{ seed: 37, numRuns: 60 },
		)
	})

	it('lets a cold target have most of what it bears', () => {
		const run = { fleet: 75, newcomer: 0, unawareEach: 4, restartsAt: 4_000, bursts: [5] }
		const borne = (COLD_START.requestsPerSecond * COLD_START.ms) / SECOND_MS
		expect(timesSent(run).length).toBeGreaterThan(0.8 * borne)
	})

	it('lets nothing by from a box that the others may not know of yet', () => {
		const gate = gateOf(brandId<BoxName>('box-0'), boxNames(1), false)
		gate.canSend(TARGET, RATE, 0)
		expect(gate.canSend(TARGET, RATE, 60_000)).toBe(false)
	})

	it('has at least one request a target where the fleet may send hardly any', () => {
		const gate = gateOf(brandId<BoxName>('box-0'), boxNames(1))
		const slow = coldRateLimit({ ms: 3_000, requestsPerSecond: 0.5 }, { overrun: 1, tolerance: 0 })
		expect(gate.canSend(TARGET, slow, 0)).toBe(false)
		expect(gate.canSend(TARGET, slow, 10_000)).toBe(true)
	})
})
