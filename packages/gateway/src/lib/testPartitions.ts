import { vi } from 'vitest'
import { MAX_RECOVERY_MS, TestFleet, seededRandom } from './testFleet.js'

export const STEP_MS = 50
const PARTITION_MS = 12_000

/** Kinds of partitions, by the peers that the isolated boxes can still reach; true means disconnected. */
const PARTITIONS = {
	'all other boxes': () => false,
	'boxes of their zone': (a: string, b: string) => zoneOf(a) !== zoneOf(b),
	'no other box': () => true,
} as const

type PartitionKind = keyof typeof PARTITIONS

/** Changes made around a partition, and the condition for stale boxes. */
export interface PartitionScenario {
	/** Runs before the partition begins. */
	readonly before?: (fleet: TestFleet) => void
	/** Runs during the partition. */
	readonly change: (fleet: TestFleet) => void
	/** True if a box still has the old state; by default, if it would send a request to target `c`. */
	readonly isStale?: (fleet: TestFleet, box: string) => boolean
}

interface PartitionCase extends PartitionedFleet, PartitionScenario {
	readonly seed: number
	readonly reach: PartitionKind
}

function zoneOf(box: string): string {
	return box.slice(0, box.indexOf('-'))
}

/** Starts a fleet with three targets and a new configuration every 3 s, and lets it run for some seconds. */
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

/** Time from now until none of the boxes is stale any more, in ms. */
export async function staleUntilMs(
	fleet: TestFleet,
	boxes: readonly string[],
	isStale: (fleet: TestFleet, box: string) => boolean = usesTarget,
): Promise<number> {
	let latest = 0
	for (let elapsed = 0; elapsed < 8_000; elapsed += STEP_MS) {
		await vi.advanceTimersByTimeAsync(STEP_MS)
		if (boxes.some((box) => isStale(fleet, box))) latest = elapsed + STEP_MS
	}
	return latest
}

/** Time after the end of a partition until none of the isolated boxes is stale any more, in ms. */
async function staleAfterHealMs(partition: PartitionCase): Promise<number> {
	const { seed, reach, before, change, isStale, zones, isolatedBoxes } = partition
	const fleet = await startFleet(zones, seed)
	if (before) {
		before(fleet)
		await vi.advanceTimersByTimeAsync(2_000)
	}
	const isIsolated = (box: string): boolean => isolatedBoxes.includes(box)
	fleet.partition(
		isolatedBoxes,
		(a, b) => (isIsolated(a) || isIsolated(b)) && PARTITIONS[reach](a, b),
	)
	await vi.advanceTimersByTimeAsync(3_000)
	change(fleet)
	await vi.advanceTimersByTimeAsync(PARTITION_MS - 3_000 + 170 * seed)
	fleet.heal()
	const latest = await staleUntilMs(fleet, isolatedBoxes, isStale)
	fleet.stop()
	return latest
}

/** Number of boxes by zone, and the boxes that are isolated from the store. */
interface PartitionedFleet {
	readonly zones: Readonly<Record<string, number>>
	readonly isolatedBoxes: readonly string[]
}

/** A fleet in which every box watches the store, and one in which half of the boxes ask others. */
export const FLEETS: readonly PartitionedFleet[] = [
	{ zones: { solo: 3, klaten: 3, boyolali: 2 }, isolatedBoxes: ['solo-1', 'solo-2', 'boyolali-2'] },
	{ zones: { east: 6, west: 6 }, isolatedBoxes: ['east-2', 'east-5', 'west-4'] },
]

/** Each test simulates minutes of virtual time. */
export const TEST_TIMEOUT_MS = 300_000
export const SEEDS = [1, 2, 3, 4, 5, 6]

/** Runs a scenario with partitions of all kinds; returns descriptions of those after which boxes were stale for too long. */
export async function findLateRecoveries(scenario: PartitionScenario): Promise<string[]> {
	const late: string[] = []
	for (const fleet of FLEETS) {
		for (const reach of Object.keys(PARTITIONS) as PartitionKind[]) {
			for (const seed of SEEDS) {
				const latest = await staleAfterHealMs({ ...fleet, ...scenario, seed, reach })
				const description = `${Object.keys(fleet.zones).join('/')}, ${reach} reached, seed ${seed}`
				if (latest >= MAX_RECOVERY_MS) late.push(`${description}: ${latest} ms`)
			}
		}
	}
	return late
}
