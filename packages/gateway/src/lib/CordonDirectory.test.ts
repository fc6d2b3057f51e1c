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

/** The zone of the targets of a test fleet. */
const CORDON = `${CORDON_PREFIX}zone`
/** Time in which a cordon is known on all boxes while the store answers, in ms: a tenth of the bound. */
const USUAL_MS = 500

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

	it('lets no box send to a cordoned zone soon after the operator said so, and all once it is given back', async () => {
		for (const { zones } of FLEETS) {
			for (const seed of SEEDS) {
				const fleet = await startFleet(zones, seed)
				cordon(fleet)
				expect(await staleUntilMs(fleet, boxesOf(fleet), uses)).toBeLessThan(USUAL_MS)
				reopen(fleet)
				expect(await staleUntilMs(fleet, boxesOf(fleet), avoids)).toBeLessThan(USUAL_MS)
				fleet.stop()
			}
		}
	})

	it('lets no box send to a zone that was cordoned while it was cut off, once that is back in touch', async () => {
		expect(await findLateRecoveries({ change: cordon, isStale: uses })).toEqual([])
	})

	it('lets boxes send to a zone again that was given back while they were cut off', async () => {
		expect(await findLateRecoveries({ before: cordon, change: reopen, isStale: avoids })).toEqual(
			[],
		)
	})

	it('ends with the last word where a zone is cordoned and given back in quick succession', async () => {
		for (const { zones } of FLEETS) {
			const fleet = await startFleet(zones, 1)
			for (let i = 0; i < 10; i++) {
				cordon(fleet)
				await vi.advanceTimersByTimeAsync(70)
				reopen(fleet)
				await vi.advanceTimersByTimeAsync(70)
			}
			expect(await staleUntilMs(fleet, boxesOf(fleet), avoids)).toBeLessThan(USUAL_MS)
			cordon(fleet)
			expect(await staleUntilMs(fleet, boxesOf(fleet), uses)).toBeLessThan(USUAL_MS)
			fleet.stop()
		}
	})

	it('hears of a cordon although the store forgets its history', async () => {
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

	it('holds for a box that starts meanwhile', async () => {
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

	it('keeps two zones apart', async () => {
		const fleet = await startFleet({ east: 3, west: 3 }, 4)
		for (const target of ['east.a', 'west.a']) fleet.store.put(`targets/${target}`, 'ready')
		const usesOf = (target: string): boolean[] =>
			boxesOf(fleet).map((box) => fleet.uses(box, target))
		fleet.store.put(`${CORDON_PREFIX}east`, '{}')
		fleet.store.put(`${CORDON_PREFIX}west`, '{}')
		await vi.advanceTimersByTimeAsync(USUAL_MS)
		expect([...usesOf('east.a'), ...usesOf('west.a')]).not.toContain(true)
		fleet.store.remove(`${CORDON_PREFIX}west`)
		await vi.advanceTimersByTimeAsync(USUAL_MS)
		expect(usesOf('east.a')).not.toContain(true)
		expect(usesOf('west.a')).not.toContain(false)
		fleet.stop()
	})

	it('logs keys that name no zone and leaves them out; a zone without targets does no harm', async () => {
		const fleet = await startFleet({ east: 1 }, 5)
		fleet.store.put(`${CORDON_PREFIX}a/b`, '{}')
		fleet.store.put(CORDON_PREFIX, '{}')
		fleet.store.put(`${CORDON_PREFIX}nowhere`, 'no JSON')
		await vi.advanceTimersByTimeAsync(USUAL_MS)
		expect(fleet.uses('east-1', 'c')).toBe(true)
		const refused = fleet.cordonEvents.filter((event) => event.name === 'cordon-refused')
		expect(refused.map((event) => event.fields.key)).toEqual([`${CORDON_PREFIX}a/b`, CORDON_PREFIX])
		const taken = fleet.cordonEvents.filter((event) => event.name === 'zone-cordoned')
		expect(taken.map((event) => event.fields)).toMatchObject([
			{ zone: 'nowhere', hasTargets: false },
		])
		fleet.stop()
	})
})
