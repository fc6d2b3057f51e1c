import { describe, expect, it } from 'vitest'
import type { BoxName } from '../ids.js'
import type { Millis } from '../units.js'
import { seededRandom } from '../testRandom.js'
import { LinkDelayEstimator } from './LinkDelayEstimator.js'

/** Senders that report twice a second, each with a clock of its own. */
class Senders {
	readonly estimator = new LinkDelayEstimator()
	private readonly clocks = new Map<BoxName, Millis>()
	private now: Millis = 1_000_000

	constructor(private readonly names: readonly string[]) {
		for (const [index, name] of names.entries()) this.clocks.set(name as BoxName, 77_000 * index)
	}

	/** Reports for a time with a delay of the own link, and delays of single senders; returns the estimate. */
	run(durationMs: Millis, ownDelayMs: Millis, senderDelays: Record<string, Millis> = {}): Millis {
		for (const end = this.now + durationMs; this.now < end; this.now += 500) {
			for (const name of this.names) {
				const delayMs = ownDelayMs + (senderDelays[name] ?? 0)
				const sentAt = this.now - delayMs + (this.clocks.get(name as BoxName) ?? 0)
				this.estimator.noteReport(name as BoxName, sentAt, this.now)
			}
		}
		return this.estimator.delayMs(this.now)
	}

	jumpClock(name: string, byMs: Millis): void {
		this.clocks.set(name as BoxName, (this.clocks.get(name as BoxName) ?? 0) + byMs)
	}

	wait(durationMs: Millis): Millis {
		this.now += durationMs
		return this.estimator.delayMs(this.now)
	}
}

describe('LinkDelayEstimator', () => {
	it('finds the delay of the own link although all clocks differ', () => {
		const senders = new Senders(['a', 'b', 'c'])
		expect(senders.run(15_000, 0)).toBe(0)
		expect(senders.run(2_000, 400)).toBe(400)
		expect(senders.run(2_000, 30)).toBe(30)
	})

	it('ages out when reports stop', () => {
		const senders = new Senders(['a', 'b', 'c'])
		senders.run(15_000, 0)
		expect(senders.run(2_000, 400)).toBe(400)
		expect(senders.wait(2_600)).toBe(0)
	})

	it('ignores one slow sender', () => {
		const senders = new Senders(['a', 'b', 'c', 'd'])
		senders.run(15_000, 0)
		expect(senders.run(5_000, 0, { b: 2_000 })).toBe(0)
		expect(senders.run(5_000, 100, { b: 2_000 })).toBe(100)
		const two = new Senders(['a', 'b'])
		two.run(15_000, 0)
		expect(two.run(5_000, 0, { b: 2_000 })).toBe(0)
	})

	it.each([-5_000_000, -3_000, -400, 400, 3_000, 5_000_000])(
		'ignores that the clock of a sender jumps by %d ms',
		(byMs) => {
			const senders = new Senders(['a', 'b', 'c'])
			senders.run(15_000, 0)
			senders.jumpClock('b', byMs)
			expect(senders.run(1_000, 0)).toBe(0)
			expect(senders.run(20_000, 0)).toBe(0)
			expect(senders.run(2_000, 250)).toBe(250)
		},
	)

	it('reports no delay where a single sender is known', () => {
		const senders = new Senders(['a'])
		senders.run(15_000, 0)
		expect(senders.run(5_000, 800)).toBe(0)
	})

	it('needs some history of a sender, so a restarted fleet is no delay', () => {
		const senders = new Senders(['a', 'b', 'c'])
		senders.run(15_000, 0)
		for (const name of ['a', 'b', 'c']) senders.jumpClock(name, -10_000_000)
		expect(senders.run(3_000, 300)).toBe(0)
		expect(senders.run(15_000, 0)).toBe(0)
		expect(senders.run(3_000, 300)).toBe(300)
	})

	it('uses the sparse reports of idle boxes', () => {
		const estimator = new LinkDelayEstimator()
		const a = 'a' as BoxName
		const b = 'b' as BoxName
		for (let now = 0; now <= 20_000; now += 2_000) {
			estimator.noteReport(a, now, now)
			estimator.noteReport(b, now + 1_000, now + 1_000)
		}
		estimator.noteReport(a, 21_700, 22_000)
		estimator.noteReport(b, 22_700, 23_000)
		expect(estimator.delayMs(23_900)).toBe(300)
	})

	it('is not fooled by reordered or unreadable reports', () => {
		const senders = new Senders(['a', 'b', 'c'])
		senders.run(15_000, 0)
		expect(senders.run(1_000, 200)).toBe(200)
		senders.estimator.noteReport('a' as BoxName, 1_015_100, 1_015_600)
		senders.estimator.noteReport('b' as BoxName, Number.NaN, 1_015_600)
		expect(senders.run(1_000, 200)).toBe(200)
	})

	it('keeps its reference for two minutes of delay and follows drifting clocks', () => {
		const senders = new Senders(['a', 'b', 'c'])
		senders.run(15_000, 0)
		expect(senders.run(120_000, 300)).toBe(300)
		const random = seededRandom(1)
		const drifting = new Senders(['a', 'b', 'c'])
		for (let minute = 0; minute < 30; minute++) {
			for (const name of ['a', 'b', 'c']) drifting.jumpClock(name, -6 * random())
			expect(drifting.run(60_000, 0)).toBeLessThan(30)
		}
	})
})
