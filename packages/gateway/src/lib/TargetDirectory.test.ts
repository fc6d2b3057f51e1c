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

/** Time after the store is reachable again at which a running target writes its entry again, in ms. */
const ENTRY_REWRITE_MS = 1_200

describe('TargetDirectory', { timeout: TEST_TIMEOUT_MS }, () => {
	beforeEach(() => {
		vi.useFakeTimers()
	})

	afterEach(() => {
		vi.useRealTimers()
	})

	it('stops using a target that started to leave during a partition, once the partition ends', async () => {
		const late = await findLateRecoveries({
			change: (fleet) => fleet.store.put('targets/c', 'leaving'),
		})
		expect(late).toEqual([])
	})

	it('stops using a target whose entry was deleted during a partition, once the partition ends', async () => {
		const late = await findLateRecoveries({ change: (fleet) => fleet.store.remove('targets/c') })
		expect(late).toEqual([])
	})

	it('keeps using targets whose entries expire while no box can reach the store', async () => {
		for (const { zones } of FLEETS) {
			for (const seed of SEEDS) {
				const fleet = await startFleet(zones, seed)
				const boxes = fleet.members.map((member) => member.box)
				fleet.partition(boxes, () => false)
				await vi.advanceTimersByTimeAsync(5_000)
				fleet.store.remove('targets/c')
				await vi.advanceTimersByTimeAsync(3_000 + 100 * seed)
				fleet.heal()
				for (let sinceHeal = 0; sinceHeal < 4_000; sinceHeal += STEP_MS) {
					if (sinceHeal === ENTRY_REWRITE_MS) fleet.store.put('targets/c', 'ready')
					await vi.advanceTimersByTimeAsync(STEP_MS)
					const boxesWithoutTarget = boxes.filter((box) => !fleet.uses(box, 'c'))
					expect(boxesWithoutTarget, `seed ${seed}, ${sinceHeal} ms after the partition`).toEqual(
						[],
					)
				}
				fleet.stop()
			}
		}
	})

	it('learns in time that a target leaves although a short partition silences the watch', async () => {
		for (const { zones, isolatedBoxes } of FLEETS) {
			for (const seed of SEEDS) {
				const fleet = await startFleet(zones, seed)
				fleet.partition(
					isolatedBoxes,
					(a, b) => isolatedBoxes.includes(a) || isolatedBoxes.includes(b),
				)
				await vi.advanceTimersByTimeAsync(100)
				fleet.store.put('targets/c', 'leaving')
				await vi.advanceTimersByTimeAsync(200)
				fleet.heal()
				expect(await staleUntilMs(fleet, isolatedBoxes), `seed ${seed}`).toBeLessThan(
					MAX_RECOVERY_MS,
				)
				fleet.stop()
			}
		}
	})
})
