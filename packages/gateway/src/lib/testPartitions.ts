import { vi } from 'vitest'
import { MAX_RECOVERY_MS, TestFleet, seededRandom } from './testFleet.js'

export const STEP_MS = 50
const PARTITION_MS = 12_000

/** Whom the boxes that the store turns away can reach meanwhile. */
const PARTITIONS = {
	'all other boxes': () => false,
	'boxes of their zone': (a: string, b: string) => zoneOf(a) !== zoneOf(b),
	'no other box': () => true,
} as const

type PartitionKind = keyof typeof PARTITIONS

/** What is changed beside a cut, and what then counts as wrong. */
export interface PartitionScenario {
	/** Done before the boxes are cut off. */
	readonly before?: (fleet: TestFleet) => void
	/** Done while the boxes are cut off. */
	readonly change: (fleet: TestFleet) => void
	/** Whether a box goes by what was true before; by default where it would send to the target `c`. */
	readonly isStale?: (fleet: TestFleet, box: string) => boolean
}

interface PartitionCase extends PartitionedFleet, PartitionScenario {
	readonly seed: number
	readonly reach: PartitionKind
}

function zoneOf(box: string): string {
	return box.slice(0, box.indexOf('-'))
}

/** A fleet that has run for some seconds, with three targets and a new configuration every 3 s. */
export async function startFleet(
	zones: Readonly<Record<string, number>>,
	seed: number,
): Promise<TestFleet> {
	const random = seededRandom(seed)
	const fleet = new TestFleet({ zones, watchersPerZone: 3, random })
	for (const target of ['a', 'b', 'c']) fleet.store.put(`targets/${target}`, 'ready')
	fleet.repeat(() => fleet.store.put('config/now', `${Date.now()}`), 3_000)
	await vi.advanceTimersByTimeAsync(10_000 + Math.floor(random() * 4_000))
	return fleet
}

function usesTarget(fleet: TestFleet, box: string): boolean {
	return fleet.uses(box, 'c')
}

/** Latest time from now on at which one of the boxes is behind, in ms. */
export async function staleUntilMs(
	fleet: TestFleet,
	boxes: readonly string[],
	isBehind: (fleet: TestFleet, box: string) => boolean = usesTarget,
): Promise<number> {
	let latest = 0
	for (let passed = 0; passed < 8_000; passed += STEP_MS) {
		await vi.advanceTimersByTimeAsync(STEP_MS)
		if (boxes.some((box) => isBehind(fleet, box))) latest = passed + STEP_MS
	}
	return latest
}

/** Latest time after the return at which a box that was cut off was still behind, in ms. */
async function staleAfterHealMs(cut: PartitionCase): Promise<number> {
	const { seed, reach, before, change, isStale: isBehind, zones, isolatedBoxes: cutBoxes } = cut
	const fleet = await startFleet(zones, seed)
	if (before) {
		before(fleet)
		await vi.advanceTimersByTimeAsync(2_000)
	}
	const isCut = (box: string): boolean => cutBoxes.includes(box)
	fleet.partition(cutBoxes, (a, b) => (isCut(a) || isCut(b)) && PARTITIONS[reach](a, b))
	await vi.advanceTimersByTimeAsync(3_000)
	change(fleet)
	await vi.advanceTimersByTimeAsync(PARTITION_MS - 3_000 + 170 * seed)
	fleet.heal()
	const latest = await staleUntilMs(fleet, cutBoxes, isBehind)
	fleet.stop()
	return latest
}

/** The zones of a fleet with their boxes, and those that are cut off. */
interface PartitionedFleet {
	readonly zones: Readonly<Record<string, number>>
	readonly isolatedBoxes: readonly string[]
}

/** A fleet in which every box watches the store, and one in which half ask others. */
export const FLEETS: readonly PartitionedFleet[] = [
	{ zones: { solo: 3, klaten: 3, boyolali: 2 }, isolatedBoxes: ['solo-1', 'solo-2', 'boyolali-2'] },
	{ zones: { east: 6, west: 6 }, isolatedBoxes: ['east-2', 'east-5', 'west-4'] },
]

/** Each test plays minutes of virtual time, which take longer on a busy machine. */
export const TEST_TIMEOUT_MS = 300_000
export const SEEDS = [1, 2, 3, 4, 5, 6]

/** Cuts of all kinds after which boxes were behind for too long. */
export async function findLateRecoveries(changes: PartitionScenario): Promise<string[]> {
	const late: string[] = []
	for (const fleet of FLEETS) {
		for (const reach of Object.keys(PARTITIONS) as PartitionKind[]) {
			for (const seed of SEEDS) {
				const latest = await staleAfterHealMs({ ...fleet, ...changes, seed, reach })
				const cut = `${Object.keys(fleet.zones).join('/')}, ${reach} reached, seed ${seed}`
				if (latest >= MAX_RECOVERY_MS) late.push(`${cut}: ${latest} ms`)
			}
		}
	}
	return late
}
