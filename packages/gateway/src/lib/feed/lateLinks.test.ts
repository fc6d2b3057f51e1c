import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { CONFIG_KEY, TestFleet, seededRandom } from '../testFleet.js'

// Guards against boxes that keep an old configuration, or return to one, while their links delay all answers.

/** Time within which every box in touch must apply a new configuration, in ms. */
const CONFIG_APPLY_MS = 3_000
/** Time after a cut from which a box counts as in touch again, in ms. */
const CONTACT_MS = 4_000
/** Longest delay of an answer: half a second on the link in each direction, in ms. */
const MAX_DELAY_MS = 1_000
const DAY_MS = 30_000
const STEP_MS = 100
const SEEDS = Array.from({ length: Number(process.env['LATE_LINKS_SEEDS'] ?? 6) }, (_, i) => i + 1)
const ZONES = { east: 6, west: 5, south: 3 }

interface Write {
	readonly version: number
	readonly at: number
}

/** One day with random delays, cuts and versions; collects what breaks the bound. */
class RandomDay {
	readonly faults: string[] = []
	private readonly random: () => number
	private readonly fleet: TestFleet
	private readonly writes: Write[] = []
	/** Boxes that are cut off now, and when the last cut of each box ended. */
	private cutBoxes: readonly string[] = []
	private readonly cutUntil = new Map<string, number>()
	private readonly highestVersions = new Map<string, number>()
	private nextChangeAt = 0
	private nextWriteAt = 0

	constructor(private readonly seed: number) {
		this.random = seededRandom(seed)
		this.fleet = new TestFleet({
			zones: ZONES,
			watchersPerZone: 2,
			random: this.random,
			propagationLimitMs: CONFIG_APPLY_MS,
		})
	}

	async run(): Promise<readonly string[]> {
		this.write()
		await vi.advanceTimersByTimeAsync(10_000)
		const endAt = Date.now() + DAY_MS
		while (Date.now() < endAt) {
			if (Date.now() >= this.nextChangeAt) this.changeLinks()
			if (Date.now() >= this.nextWriteAt) this.write()
			await vi.advanceTimersByTimeAsync(STEP_MS)
			for (const { box } of this.fleet.members) this.check(box)
		}
		this.fleet.stop()
		return [...new Set(this.faults)]
	}

	private write(): void {
		const version = this.writes.length + 1
		this.fleet.store.put(CONFIG_KEY, `version ${version}`)
		this.writes.push({ version, at: Date.now() })
		this.nextWriteAt = Date.now() + 200 + 4_000 * this.random()
	}

	/** Delays the answers of some boxes, and cuts some off from the store or from all, at times. */
	private changeLinks(): void {
		const { fleet, random } = this
		for (const { box } of fleet.members)
			fleet.answerDelayMs.set(box, random() < 0.35 ? MAX_DELAY_MS * random() : 0)
		for (const box of this.cutBoxes) this.cutUntil.set(box, Date.now())
		const boxes = fleet.members.map(({ box }) => box)
		this.cutBoxes = random() < 0.5 ? boxes.filter(() => random() < 0.2) : []
		const isCut = (box: string): boolean => this.cutBoxes.includes(box)
		const isFromAll = random() < 0.5
		fleet.cut(this.cutBoxes, (a, b) => isFromAll && (isCut(a) || isCut(b)))
		this.nextChangeAt = Date.now() + 2_000 + 5_000 * random()
	}

	private check(box: string): void {
		const version = Number(/\d+/.exec(this.fleet.versionOf(box) ?? '')?.[0] ?? 0)
		const highest = this.highestVersions.get(box) ?? 0
		if (version < highest) this.faults.push(`seed ${this.seed}: ${box} went back`)
		this.highestVersions.set(box, Math.max(highest, version))
		const isInTouch =
			!this.cutBoxes.includes(box) && Date.now() >= (this.cutUntil.get(box) ?? 0) + CONTACT_MS
		const due = this.writes.findLast(({ at }) => at <= Date.now() - CONFIG_APPLY_MS)
		if (isInTouch && due && version < due.version)
			this.faults.push(`seed ${this.seed}: ${box} lacks version ${due.version}`)
	}
}

describe('boxes whose links delay all answers', { timeout: 300_000 }, () => {
	beforeEach(() => void vi.useFakeTimers())
	afterEach(() => void vi.useRealTimers())

	it.each(SEEDS)('have each version in time and return to none, seed %i', async (seed) => {
		expect(await new RandomDay(seed).run()).toEqual([])
	})
})
