import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { CONFIG_KEY, MAX_RECOVERY_MS, CORDON_PREFIX, TestFleet, seededRandom } from './testFleet.js'

// Seen: the store came back from a copy that was some seconds old. Boxes went on handling requests by a configuration
// that had been replaced: five newer ones were confirmed in the next eight seconds, and no box put one in force. Each
// box listed the store dozens of times a second meanwhile.
// Came about: revisions had gone back with the store. The list after the return brought the configuration under a lower
// revision than the one in force, and was taken for an old one; the follower watched on from a revision that the store
// no longer had, was told that the history is gone, and listed again, until revisions had passed those of before.
// Cause: revisions were compared as bare numbers, as if they only rose.
// Proof: the same story here, with 7 and 27 boxes. All were late on the code before; with revisions that carry the era
// of the store none is. By the newest of the new era alone, four or five of seven boxes went back to the version of the
// copy until it was written again; with the hold by version none does.

/** Time in which a configuration, or the word of a target, has to be in force, in ms. */
const BOUND_MS = 2_000
const STEP_MS = 50
const SEEDS = [1, 2]
const FLEETS = [
	{ east: 2, west: 2, south: 3 },
	{ east: 12, west: 12, south: 3 },
]
/** Writes of others between the copy and the loss, and so the revisions that are given out again. */
const LOST_WRITES = 120

/** What happens around the return of the store. */
interface Drill {
	/** Boxes notice that the store was away; otherwise their watches are silent. */
	readonly isNoticed: boolean
	/** Revisions have passed those of before when boxes look for the first time. */
	readonly isOvertaken: boolean
}

const DRILLS: readonly Drill[] = [
	{ isNoticed: true, isOvertaken: false },
	{ isNoticed: true, isOvertaken: true },
	{ isNoticed: false, isOvertaken: false },
]

function writeOthers(fleet: TestFleet, count: number): void {
	for (let i = 0; i < count; i++) fleet.store.put('others/x', String(i))
}

async function startFleet(
	zones: Readonly<Record<string, number>>,
	seed: number,
): Promise<TestFleet> {
	const fleet = new TestFleet({ zones, watchersPerZone: 2, random: seededRandom(seed) })
	fleet.store.put(CONFIG_KEY, 'version 1')
	for (const target of ['a', 'b', 'c']) fleet.store.put(`targets/${target}`, 'ready')
	await vi.advanceTimersByTimeAsync(10_000 + 170 * seed)
	return fleet
}

/** Lets the store come back as it was when `lost` began, after a moment in which it answers nobody. */
async function drill(
	fleet: TestFleet,
	{ isNoticed, isOvertaken }: Drill,
	lost: () => void,
): Promise<void> {
	const copy = fleet.store.copy()
	writeOthers(fleet, LOST_WRITES)
	lost()
	await vi.advanceTimersByTimeAsync(5_000)
	const boxes = fleet.members.map(({ box }) => box)
	if (isNoticed) fleet.partition(boxes, () => false)
	await vi.advanceTimersByTimeAsync(800)
	fleet.store.restore(copy)
	if (isOvertaken) writeOthers(fleet, 3 * LOST_WRITES)
	fleet.heal()
}

/** Boxes for which something does not hold at the end of a time. */
async function boxesAfter(
	fleet: TestFleet,
	ms: number,
	holds: (box: string) => boolean,
): Promise<readonly string[]> {
	await vi.advanceTimersByTimeAsync(ms)
	return fleet.members.map(({ box }) => box).filter((box) => !holds(box))
}

/** Plays a story on each fleet, with each seed and drill; returns what went wrong. */
async function play(
	story: (fleet: TestFleet, drill: Drill) => Promise<readonly string[]>,
): Promise<readonly string[]> {
	const wrong: string[] = []
	for (const zones of FLEETS)
		for (const seed of SEEDS)
			for (const one of DRILLS) {
				const fleet = await startFleet(zones, seed)
				const found = await story(fleet, one)
				fleet.stop()
				const size = fleet.members.length
				if (found.length > 0)
					wrong.push(`${size} boxes, seed ${seed}, ${JSON.stringify(one)}: ${found.join(' ')}`)
			}
	return wrong
}

describe('a store that comes back from a copy', { timeout: 120_000 }, () => {
	beforeEach(() => {
		vi.useFakeTimers()
	})

	afterEach(() => {
		vi.useRealTimers()
	})

	it('keeps no configuration from being in force in time, and brings no older one back', async () => {
		const wrong = await play(async (fleet, one) => {
			await drill(fleet, one, () => fleet.store.put(CONFIG_KEY, 'version 2'))
			await vi.advanceTimersByTimeAsync(300)
			fleet.store.put(CONFIG_KEY, 'version 2')
			await vi.advanceTimersByTimeAsync(MAX_RECOVERY_MS)
			fleet.store.put(CONFIG_KEY, 'version 3')
			const late = await boxesAfter(fleet, BOUND_MS, (box) => fleet.versionOf(box) === 'version 3')
			const back = fleet.members.filter(({ box }) => {
				const versions = fleet.versionsOf(box)
				return versions.lastIndexOf('version 1') > versions.indexOf('version 2')
			})
			return [...late.map((box) => `${box} late`), ...back.map(({ box }) => `${box} back`)]
		})
		expect(wrong).toEqual([])
	})

	it('reopens no zone that an operator cordoned in what was lost', async () => {
		const wrong = await play(async (fleet, one) => {
			const key = `${CORDON_PREFIX}zone`
			await drill(fleet, one, () => fleet.store.put(key, ''))
			const users = new Set<string>()
			for (let ms = 0; ms < 2_000; ms += STEP_MS) {
				if (ms === 1_000) fleet.store.put(key, '')
				for (const box of await boxesAfter(fleet, STEP_MS, (one) => !fleet.uses(one, 'c')))
					users.add(box)
			}
			fleet.store.remove(key)
			const closed = await boxesAfter(fleet, BOUND_MS, (box) => fleet.uses(box, 'c'))
			return [...[...users].map((box) => `${box} open`), ...closed.map((box) => `${box} closed`)]
		})
		expect(wrong).toEqual([])
	})

	it('hides no word of a target that leaves, and takes back none from before', async () => {
		const wrong = await play(async (fleet, one) => {
			await drill(fleet, one, () => {
				fleet.store.put('targets/a', 'leaving')
				fleet.store.remove('targets/b')
			})
			const used: string[] = []
			for (let ms = 0; ms < 1_000; ms += STEP_MS) {
				const users = await boxesAfter(
					fleet,
					STEP_MS,
					(box) => !fleet.uses(box, 'a') && !fleet.uses(box, 'b'),
				)
				used.push(...users.map((box) => `${box} uses what left`))
			}
			fleet.store.put('targets/a', 'leaving')
			fleet.store.remove('targets/b')
			await vi.advanceTimersByTimeAsync(MAX_RECOVERY_MS)
			fleet.store.put('targets/c', 'leaving')
			const late = await boxesAfter(fleet, BOUND_MS, (box) => !fleet.uses(box, 'c'))
			return [...new Set(used), ...late.map((box) => `${box} late`)]
		})
		expect(wrong).toEqual([])
	})

	it.each([
		[7, 1, 7],
		[75, 3, 25],
	])('is listed by few of %i boxes, and all keep to it in time', async (size, zoneCount, boxes) => {
		const names = Array.from({ length: zoneCount }, (_, zone) => `zone${zone}`)
		const zones = Object.fromEntries(names.map((name) => [name, boxes]))
		zones['zone0'] = boxes - (zoneCount * boxes - size)
		const fleet = await startFleet(zones, 1)
		expect(fleet.members).toHaveLength(size)
		const [usual] = DRILLS
		if (!usual) throw new Error('no drill')
		await drill(fleet, usual, () => fleet.store.put(CONFIG_KEY, 'version 2'))
		const before = fleet.store.calls.get('list') ?? 0
		fleet.store.put(CONFIG_KEY, 'version 2')
		await vi.advanceTimersByTimeAsync(MAX_RECOVERY_MS)
		const lists = (fleet.store.calls.get('list') ?? 0) - before
		fleet.store.put(CONFIG_KEY, 'version 3')
		const late = await boxesAfter(fleet, BOUND_MS, (box) => fleet.versionOf(box) === 'version 3')
		fleet.stop()
		expect(late).toEqual([])
		// Two boxes of a zone watch, two prefixes each.
		expect(lists).toBeLessThanOrEqual(2 * 2 * zoneCount)
	})
})
