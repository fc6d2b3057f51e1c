/** Guards against boxes that together exceed the slots of a target, and against slots that no box may use. */
import { describe, expect, it } from 'vitest'
import { brandId, type BoxName } from '../ids.js'
import { RejectionLimiter } from './RejectionLimiter.js'
import { TargetState, type OpenAttempt } from './TargetState.js'
import { EMPTY_NOTICE } from './TargetNotices.js'
import { SERVICE, entry } from './testEntries.js'

const REJECTIONS_PER_SECOND = 4
/** Time for which the same boxes may take a free slot, in ms. */
const TURN_MS = 50

describe('RejectionLimiter', () => {
	it.each([
		[7, 6],
		[7, 64],
		[75, 6],
		[300, 64],
	])('divides the slots among %i boxes if there are %i, none left over', (count, slots) => {
		const { limiters, targets } = fleetOf(count, slots)
		const admitted = limiters.map((limiter, i) => {
			const target = targets[i]
			if (!target) return 0
			let requests = 0
			// Full reports of the others, so that only the quota admits requests.
			target.peerWork.set(brandId<BoxName>('others'), {
				prefillTokens: 0,
				openRequests: slots,
				receivedAt: 0,
			})
			while (limiter.admits(target, 0)) {
				target.openAttempts.add(attempt())
				requests++
			}
			return requests
		})
		expect(admitted.reduce((sum, requests) => sum + requests, 0)).toBe(slots)
	})

	it('lets only some boxes take a slot that is free', () => {
		const { limiters, targets } = fleetOf(7, 6)
		const busy = { prefillTokens: 0, openRequests: 4, receivedAt: 0 }
		for (const target of targets) {
			target.openAttempts.add(attempt())
			target.peerWork.set(brandId<BoxName>('others'), busy)
		}
		const counts = Array.from({ length: 200 }, (_, turn) => {
			const report = { ...busy, receivedAt: turn * TURN_MS }
			for (const target of targets) target.peerWork.set(brandId<BoxName>('others'), report)
			return limiters.filter((limiter, i) => {
				const target = targets[i]
				return target !== undefined && limiter.admits(target, turn * TURN_MS)
			}).length
		})
		const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length
		expect(mean).toBeGreaterThan(0.5)
		expect(mean).toBeLessThan(1.5)
	})

	it('pauses after a rejection, so that all boxes together stay below the limit', () => {
		const { limiters, targets } = fleetOf(7, 64)
		let rejections = 0
		const durationMs = 20_000
		for (let now = 0; now < durationMs; now += 10) {
			for (const [i, limiter] of limiters.entries()) {
				const target = targets[i]
				if (!target || !limiter.admits(target, now)) continue
				rejections++
				limiter.noteRejected(target.entry, now)
			}
		}
		expect((1_000 * rejections) / durationMs).toBeLessThanOrEqual(REJECTIONS_PER_SECOND * 1.1)
	})

	it('admits everything without a limit', () => {
		const { limiters, targets } = fleetOf(2, 1)
		const [limiter] = limiters
		const [target] = targets
		if (!limiter || !target) throw new Error('no box')
		expect(limiter.noteLimit(target.entry.service, undefined)).toBe(true)
		for (let i = 0; i < 10; i++) target.openAttempts.add(attempt())
		limiter.noteRejected(target.entry, 0)
		expect(limiter.admits(target, 0)).toBe(true)
	})
})

function fleetOf(count: number, slots: number) {
	const boxes = Array.from({ length: count }, (_, i) => brandId<BoxName>(`box-${i}`))
	const limiters = boxes.map((self) => {
		const limiter = new RejectionLimiter({ self, boxes: () => boxes })
		limiter.noteLimit(SERVICE, REJECTIONS_PER_SECOND)
		return limiter
	})
	const targets = boxes.map(() => new TargetState(entry('t', { slots }), 0, EMPTY_NOTICE))
	return { limiters, targets }
}

function attempt(): OpenAttempt {
	return { sentAt: 0, expectedMs: 1, prefillTokens: 0, countedLimits: [], hasFirstByte: false }
}
