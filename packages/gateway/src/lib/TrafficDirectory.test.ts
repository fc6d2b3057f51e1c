import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { TestFleet, seededRandom } from './testFleet.js'

/** Time in which a configuration has to be in force, in ms. */
const BOUND_MS = 2_000
const STEP_MS = 50
const SEEDS = [1, 2, 3, 4, 5, 6]
const ZONES = { east: 12, west: 12, south: 3 }

describe('a configuration', () => {
	beforeEach(() => {
		vi.useFakeTimers()
	})

	afterEach(() => {
		vi.useRealTimers()
	})

	for (const [name, areApart] of [
		['the store', () => false],
		['the store and each other', () => true],
	] as const) {
		it(`reaches all boxes in time after all were cut off from ${name}`, async () => {
			const late: string[] = []
			for (const seed of SEEDS) {
				const random = seededRandom(seed)
				const fleet = new TestFleet({ zones: ZONES, watchersPerZone: 2, random })
				fleet.store.put('config/now', 'before')
				await vi.advanceTimersByTimeAsync(10_000 + 170 * seed)
				const boxes = fleet.members.map((member) => member.box)
				fleet.partition(boxes, areApart)
				await vi.advanceTimersByTimeAsync(8_000 + 130 * seed)
				fleet.store.put('config/now', 'after')
				fleet.heal()
				let sinceReturn = 0
				while (sinceReturn < 8_000 && boxes.some((box) => fleet.versionOf(box) !== 'after')) {
					await vi.advanceTimersByTimeAsync(STEP_MS)
					sinceReturn += STEP_MS
				}
				fleet.stop()
				if (sinceReturn >= BOUND_MS) late.push(`seed ${seed}: ${sinceReturn} ms`)
			}
			expect(late).toEqual([])
		})
	}
})
