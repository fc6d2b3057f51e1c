import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import {
	FLEETS,
	SEEDS,
	STEP_MS,
	TEST_TIMEOUT_MS,
	findLateRecoveries,
	startFleet,
	staleUntilMs,
} from './testPartitions.js'
import { MAX_RECOVERY_MS } from './testFleet.js'

/** Time after the return of the store at which a target that lives has written its entry anew, in ms. */
const BACK_MS = 1_200

describe('TargetDirectory', { timeout: TEST_TIMEOUT_MS }, () => {
	beforeEach(() => {
		vi.useFakeTimers()
	})

	afterEach(() => {
		vi.useRealTimers()
	})

	it('uses no target that said it leaves while its box was cut off, once that is back in touch', async () => {
		const late = await findLateRecoveries({
			change: (fleet) => fleet.store.put('targets/c', 'leaving'),
		})
		expect(late).toEqual([])
	})

	it('uses no target whose entry went while its box was cut off, once that is back in touch', async () => {
		const late = await findLateRecoveries({ change: (fleet) => fleet.store.remove('targets/c') })
		expect(late).toEqual([])
	})

	it('goes on with targets whose entries run out while the store answers no box', async () => {
		for (const { zones } of FLEETS) {
			for (const seed of SEEDS) {
				const fleet = await startFleet(zones, seed)
				const boxes = fleet.members.map((member) => member.box)
				fleet.partition(boxes, () => false)
				await vi.advanceTimersByTimeAsync(5_000)
				fleet.store.remove('targets/c')
				await vi.advanceTimersByTimeAsync(3_000 + 100 * seed)
				fleet.heal()
				for (let sinceReturn = 0; sinceReturn < 4_000; sinceReturn += STEP_MS) {
					if (sinceReturn === BACK_MS) fleet.store.put('targets/c', 'ready')
					await vi.advanceTimersByTimeAsync(STEP_MS)
					const without = boxes.filter((box) => !fleet.uses(box, 'c'))
					expect(without, `seed ${seed}, ${sinceReturn} ms after the return`).toEqual([])
				}
				fleet.stop()
			}
		}
	})

	it('hears in time of a target that leaves while a short cut silences its watch', async () => {
		for (const { zones, isolatedBoxes: cutBoxes } of FLEETS) {
			for (const seed of SEEDS) {
				const fleet = await startFleet(zones, seed)
				fleet.partition(cutBoxes, (a, b) => cutBoxes.includes(a) || cutBoxes.includes(b))
				await vi.advanceTimersByTimeAsync(100)
				fleet.store.put('targets/c', 'leaving')
				await vi.advanceTimersByTimeAsync(200)
				fleet.heal()
				expect(await staleUntilMs(fleet, cutBoxes), `seed ${seed}`).toBeLessThan(MAX_RECOVERY_MS)
				fleet.stop()
			}
		}
	})
})
