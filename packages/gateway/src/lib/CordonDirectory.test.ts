import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import {
	FLEETS,
	SEEDS,
	TEST_TIMEOUT_MS,
	staleUntilMs,
	findLateRecoveries,
	startFleet,
} from './testPartitions.js'
import { MAX_RECOVERY_MS, CORDON_PREFIX, type TestFleet } from './testFleet.js'

/** Key of the cordon for the zone of the test fleet's targets. */
const CORDON = `${CORDON_PREFIX}zone`
/** Time within which all boxes must apply a cordon while the store is reachable, in ms. */
const MAX_PROPAGATION_MS = 500

function cordon(fleet: TestFleet): void {
	fleet.store.put(CORDON, '{}')
}

function reopen(fleet: TestFleet): void {
	fleet.store.remove(CORDON)
}

function uses(fleet: TestFleet, box: string): boolean {
	return fleet.uses(box, 'c')
}

function avoids(fleet: TestFleet, box: string): boolean {
	return !fleet.uses(box, 'c')
}

function boxesOf(fleet: TestFleet): readonly string[] {
	return fleet.members.map((member) => member.box)
}

describe('CordonDirectory', { timeout: TEST_TIMEOUT_MS }, () => {
	beforeEach(() => {
		vi.useFakeTimers()
	})

	afterEach(() => {
		vi.useRealTimers()
	})

	it('stops all boxes from using a cordoned zone in time, and lets them use it again once reopened', async () => {
		for (const { zones } of FLEETS) {
			for (const seed of SEEDS) {
				const fleet = await startFleet(zones, seed)
				cordon(fleet)
				expect(await staleUntilMs(fleet, boxesOf(fleet), uses)).toBeLessThan(MAX_PROPAGATION_MS)
				reopen(fleet)
				expect(await staleUntilMs(fleet, boxesOf(fleet), avoids)).toBeLessThan(MAX_PROPAGATION_MS)
				fleet.stop()
			}
		}
	})

	it('stops boxes from using a zone that was cordoned during a partition, once the partition ends', async () => {
		expect(await findLateRecoveries({ change: cordon, isStale: uses })).toEqual([])
	})

	it('lets boxes use a zone again that was reopened during a partition', async () => {
		expect(await findLateRecoveries({ before: cordon, change: reopen, isStale: avoids })).toEqual(
			[],
		)
	})

	it('applies the last change when a zone is cordoned and reopened in quick succession', async () => {
		for (const { zones } of FLEETS) {
			const fleet = await startFleet(zones, 1)
			for (let i = 0; i < 10; i++) {
				cordon(fleet)
				await vi.advanceTimersByTimeAsync(70)
				reopen(fleet)
				await vi.advanceTimersByTimeAsync(70)
			}
			expect(await staleUntilMs(fleet, boxesOf(fleet), avoids)).toBeLessThan(MAX_PROPAGATION_MS)
			cordon(fleet)
			expect(await staleUntilMs(fleet, boxesOf(fleet), uses)).toBeLessThan(MAX_PROPAGATION_MS)
			fleet.stop()
		}
	})

	it('applies a cordon although the store compacts its history', async () => {
		for (const { zones } of FLEETS) {
			const fleet = await startFleet(zones, 2)
			cordon(fleet)
			fleet.store.compact()
			expect(await staleUntilMs(fleet, boxesOf(fleet), uses)).toBeLessThan(MAX_RECOVERY_MS)
			reopen(fleet)
			fleet.store.compact()
			expect(await staleUntilMs(fleet, boxesOf(fleet), avoids)).toBeLessThan(MAX_RECOVERY_MS)
			fleet.stop()
		}
	})

	it('applies a cordon on boxes that start after it was written', async () => {
		for (const { zones } of FLEETS) {
			const fleet = await startFleet(zones, 3)
			cordon(fleet)
			await vi.advanceTimersByTimeAsync(2_000)
			for (const box of boxesOf(fleet)) fleet.restart(box)
			expect(await staleUntilMs(fleet, boxesOf(fleet), uses)).toBe(0)
			expect(boxesOf(fleet).every((box) => fleet.versionOf(box) !== undefined)).toBe(true)
			fleet.stop()
		}
	})

	it('handles the cordons of two zones independently', async () => {
		const fleet = await startFleet({ east: 3, west: 3 }, 4)
		for (const target of ['east.a', 'west.a']) fleet.store.put(`targets/${target}`, 'ready')
		const usesByBox = (target: string): boolean[] =>
			boxesOf(fleet).map((box) => fleet.uses(box, target))
		fleet.store.put(`${CORDON_PREFIX}east`, '{}')
		fleet.store.put(`${CORDON_PREFIX}west`, '{}')
		await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS)
		expect([...usesByBox('east.a'), ...usesByBox('west.a')]).not.toContain(true)
		fleet.store.remove(`${CORDON_PREFIX}west`)
		await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS)
		expect(usesByBox('east.a')).not.toContain(true)
		expect(usesByBox('west.a')).not.toContain(false)
		fleet.stop()
	})

	it('logs and ignores keys that name no zone, and accepts a zone without targets', async () => {
		const fleet = await startFleet({ east: 1 }, 5)
		fleet.store.put(`${CORDON_PREFIX}a/b`, '{}')
		fleet.store.put(CORDON_PREFIX, '{}')
		fleet.store.put(`${CORDON_PREFIX}nowhere`, 'no JSON')
		await vi.advanceTimersByTimeAsync(MAX_PROPAGATION_MS)
		expect(fleet.uses('east-1', 'c')).toBe(true)
		const refused = fleet.cordonEvents.filter((event) => event.name === 'cordon-refused')
		expect(refused.map((event) => event.fields.key)).toEqual([`${CORDON_PREFIX}a/b`, CORDON_PREFIX])
		const cordoned = fleet.cordonEvents.filter((event) => event.name === 'zone-cordoned')
		expect(cordoned.map((event) => event.fields)).toMatchObject([
			{ zone: 'nowhere', hasTargets: false },
		])
		fleet.stop()
	})
})
