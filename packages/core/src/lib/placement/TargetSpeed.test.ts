import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { brandId, type BoxName } from '../ids.js'
import { seededRandom } from '../testRandom.js'
import { ReturnRate } from './ReturnRate.js'
import { TargetSpeed } from './TargetSpeed.js'

const OTHER = brandId<BoxName>('other')

describe('TargetSpeed', () => {
	it('decays the momentary factor to 1 with the age of its report', () => {
		const speed = new TargetSpeed()
		speed.noteReport(2.5, 1_000)
		const factors = [1_000, 1_200, 1_600, 10_000].map((now) => speed.momentary(now))
		expect(factors[0]).toBe(2.5)
		expect(factors).toEqual([...factors].sort((a, b) => b - a))
		expect(factors[3]).toBeCloseTo(1, 3)
	})

	it('ignores a report that is older than the last one, which can arrive by way of other boxes', () => {
		const speed = new TargetSpeed()
		speed.noteReport(2.5, 1_000)
		speed.noteReport(1, 900)
		expect(speed.momentary(1_000)).toBe(2.5)
	})

	it('stays within bounds for any sequence of reports and samples, with clocks that jump', () => {
		const anyEvent = fc.oneof(
			fc.record({ report: fc.double({ min: 1e-9, noNaN: true }), at: fc.integer() }),
			fc.record({ sample: fc.double({ min: 0, noNaN: true }), at: fc.integer() }),
			fc.record({ heard: fc.double({ min: 0, noNaN: true }), at: fc.integer() }),
		)
		fc.assert(
			fc.property(fc.array(anyEvent, { maxLength: 30 }), fc.integer(), (events, now) => {
				const speed = new TargetSpeed()
				for (const event of events) {
					if ('report' in event) speed.noteReport(event.report, event.at)
					else if ('sample' in event) speed.addSample(event.sample, event.at)
					else speed.noteHeard(OTHER, event.heard, 5, event.at)
				}
				const slowdown = speed.slowdown(now)
				expect(slowdown).toBeGreaterThan(0)
				expect(slowdown).toBeLessThanOrEqual(120)
			}),
		)
	})

	it('combines its own samples with those of others in proportion to their numbers', () => {
		const speed = new TargetSpeed()
		for (let i = 0; i < 40; i++) speed.addSample(2, 0)
		speed.noteHeard(OTHER, 0.5, 40, 0)
		const { lasting, samples } = speed.measured(() => true, 0)
		expect(lasting).toBeCloseTo(1, 6)
		expect(samples).toBe(80)
		expect(speed.measured(() => false, 0).lasting).toBeCloseTo(2, 6)
	})

	it('uses what others know before it has samples of its own', () => {
		const speed = new TargetSpeed()
		speed.noteHeard(OTHER, 1.8, 80, 0)
		expect(speed.slowdown(0)).toBeGreaterThan(1.7)
	})

	it('forgets samples, so that a target that has recovered is not avoided forever', () => {
		const speed = new TargetSpeed()
		speed.noteReport(1, 0)
		for (let i = 0; i < 20; i++) speed.addSample(3, 0)
		expect(speed.slowdown(0)).toBeGreaterThan(2.5)
		expect(speed.slowdown(300_000)).toBeLessThan(1.05)
	})
})

describe('ReturnRate', () => {
	/** Learned duration of slow phases whose durations have the given mean, seen in reports at random intervals. */
	function learnedMs(meanMs: number, gapMs: number): number {
		const random = seededRandom(7)
		const rate = new ReturnRate()
		for (let i = 0; i < 2_000; i++) {
			const gap = gapMs * (0.5 + random())
			const hasReturned = -meanMs * Math.log(1 - random()) < gap
			rate.note(2.5, hasReturned ? 1 : 2.5, gap)
		}
		return 1 / rate.perMs
	}

	it.each([
		[100, 50],
		[700, 100],
		[700, 600],
		[3_000, 200],
	])('learns a mean duration of %i ms from reports %i ms apart', (meanMs, gapMs) => {
		expect(learnedMs(meanMs, gapMs)).toBeGreaterThan(meanMs / 1.5)
		expect(learnedMs(meanMs, gapMs)).toBeLessThan(meanMs * 1.5)
	})

	it('learns nothing from reports of the usual speed', () => {
		const rate = new ReturnRate()
		const initial = rate.perMs
		for (let i = 0; i < 100; i++) rate.note(1, 1, 100)
		expect(rate.perMs).toBe(initial)
	})
})
