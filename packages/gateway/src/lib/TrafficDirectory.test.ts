import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { TestFleet, seededRandom } from './testFleet.js'

/** Time within which all boxes must apply a configuration, in ms. */
const MAX_PROPAGATION_MS = 2_000
const STEP_MS = 50
const SEEDS = [1, 2, 3, 4, 5, 6]
const ZONES = { east: 12, west: 12, south: 3 }

describe('TrafficDirectory', () => {
	beforeEach(() => {
		vi.useFakeTimers()
	})

	afterEach(() => {
		vi.useRealTimers()
	})

	for (const [name, areDisconnected] of [
		['the store', () => false],
		['the store and from each other', () => true],
	] as const) {
		it(`applies a configuration in time after all boxes were disconnected from ${name}`, async () => {
			const late: string[] = []
			for (const seed of SEEDS) {
				const random = seededRandom(seed)
				const fleet = new TestFleet({ zones: ZONES, watchersPerZone: 2, random })
				fleet.store.put('config/now', 'before')
				await vi.advanceTimersByTimeAsync(10_000 + 170 * seed)
				const boxes = fleet.members.map((member) => member.box)
				fleet.partition(boxes, areDisconnected)
				await vi.advanceTimersByTimeAsync(8_000 + 130 * seed)
				fleet.store.put('config/now', 'after')
				fleet.heal()
				let sinceHeal = 0
				while (sinceHeal < 8_000 && boxes.some((box) => fleet.versionOf(box) !== 'after')) {
					await vi.advanceTimersByTimeAsync(STEP_MS)
					sinceHeal += STEP_MS
				}
				fleet.stop()
				if (sinceHeal >= MAX_PROPAGATION_MS) late.push(`seed ${seed}: ${sinceHeal} ms`)
			}
			expect(late).toEqual([])
		})
	}
})
