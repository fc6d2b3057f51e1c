import type { MemoryStoreCopy } from '@stallwing/standins'
import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { ACCOUNT, BOXES, BudgetTestFleet, CLAIM_ALL_MS, advance } from './testBudgetFleet.js'

// Seen: beside configurations that went unheard, accounts could get more tokens than their budgets once the store had
// come back from a copy that was some seconds old.
// Came about: the record of draws went back with the store. What boxes had drawn since stood nowhere, and was drawn
// again, also for a new process of a box that had been killed, by ceilings from before.
// Cause: a draw counted for good once the store had acknowledged it.
// Proof: 31,100 to 38,300 of 30,000 tokens in four of these eight stories on the code before, none above since, nor in
// random days of losses, kills, cuts, suspensions and late writes.

const BUDGET = 30_000
/** A budget of which a box's window is a small part. */
const LARGE_BUDGET = 300_000
const LOWERED_BUDGET = 120_000
/** Randomised days and their seed; by hand, more and others. */
const PROPERTY_RUNS = Number(process.env['MONEY_RUNS'] ?? 150)
const PROPERTY_SEED = Number(process.env['MONEY_SEED'] ?? 20261203)
const STEP_MS = 50
const SEVEN_BOXES = Array.from({ length: 7 }, (_, index) => `box-${index + 1}`)
const COPY_INTERVAL_MS = 500
/** Copies that the store comes back from are younger than a window of draws. */
const MAX_RESTORE_COPIES = 20
/** Tokens that all boxes together are asked for in each step: the budget lasts 15 s. */
const TOKENS_PER_STEP = 100
const STORE_OUTAGE_MS = 800

/** What happens around the return of the store. */
interface RestoreScenario {
	readonly name: string
	/** Time after the start at which the copy is taken, in ms. */
	readonly copyAtMs: number
	/** Age of the copy when the store comes back from it, in ms. */
	readonly copyAgeMs: number
	/** Boxes that are killed as the store goes. */
	readonly killed: readonly string[]
	/** Boxes that the store turns away from before the loss on, until long after it. */
	readonly cutOff: readonly string[]
	/** Returns, the second one soon after the first and from the same copy. */
	readonly restores: number
}

const DEFAULT_SCENARIO: RestoreScenario = {
	name: '',
	copyAtMs: 3_000,
	copyAgeMs: 5_000,
	killed: [],
	cutOff: [],
	restores: 1,
}
const SCENARIOS: readonly RestoreScenario[] = [
	{ ...DEFAULT_SCENARIO, name: 'all boxes live' },
	{ ...DEFAULT_SCENARIO, name: 'the copy is older than all draws', copyAtMs: 0 },
	{ ...DEFAULT_SCENARIO, name: 'one box is killed', killed: ['box-1'] },
	{ ...DEFAULT_SCENARIO, name: 'all boxes are killed', killed: BOXES },
	{
		...DEFAULT_SCENARIO,
		name: 'all are killed, the copy is older than all draws',
		copyAtMs: 0,
		killed: BOXES,
	},
	{ ...DEFAULT_SCENARIO, name: 'one box is cut off', cutOff: ['box-2'] },
	{ ...DEFAULT_SCENARIO, name: 'two returns', restores: 2 },
	{ ...DEFAULT_SCENARIO, name: 'two returns, one box is killed', restores: 2, killed: ['box-3'] },
]

/**
 * Part of a large budget that is spent at least. Where nobody is left that knows what was drawn since the copy, all that
 * the copy gives to nobody is held back.
 */
const MIN_SPENT_FRACTIONS: Readonly<Record<string, number>> = {
	'all boxes live': 0.97,
	'the copy is older than all draws': 0.97,
	'one box is killed': 0.8,
	'all boxes are killed': 0.45,
	'all are killed, the copy is older than all draws': 0.25,
	'one box is cut off': 0.97,
	'two returns': 0.97,
	'two returns, one box is killed': 0.8,
}

/** One thing that happens, after a pause. */
interface FleetEvent {
	readonly pauseMs: number
	readonly box: number
	readonly kind: (typeof EVENT_KINDS)[number]
	readonly amount: number
}

const EVENT_KINDS = [
	...(['ask', 'ask', 'ask', 'ask', 'ask', 'ask', 'ask', 'ask'] as const),
	...(['kill', 'stop', 'suspend', 'cut', 'heal', 'heal', 'storm', 'calm'] as const),
	...(['restore', 'restore', 'lower', 'raise'] as const),
]

const fleetEvent: fc.Arbitrary<FleetEvent> = fc.record({
	pauseMs: fc.constantFrom(1, 5, 40, 200, 900, 2_500),
	box: fc.nat({ max: BOXES.length - 1 }),
	kind: fc.constantFrom(...EVENT_KINDS),
	amount: fc.integer({ min: 1, max: 40 }),
})

/** Copies of the store, one each half second. */
class StoreCopies {
	private readonly copies: MemoryStoreCopy[] = []

	constructor(private readonly fleet: BudgetTestFleet) {
		this.copies.push(fleet.store.copy())
	}

	/** Lets time pass. */
	async advance(ms: number): Promise<void> {
		for (let left = ms; left > 0; left -= COPY_INTERVAL_MS) {
			await advance(this.fleet, Math.min(left, COPY_INTERVAL_MS))
			this.copies.push(this.fleet.store.copy())
		}
	}

	/** The store comes back from one of the last copies. */
	restore(back: number): void {
		const copy = this.copies.at(-Math.min(back, MAX_RESTORE_COPIES, this.copies.length))
		if (copy) this.fleet.store.restore(copy)
	}
}

/** Requests for some time, at the boxes in turn. */
async function spendEvenly(fleet: BudgetTestFleet, ms: number): Promise<void> {
	const tokens = (fleet.budget / BUDGET) * TOKENS_PER_STEP
	for (let passed = 0; passed < ms; passed += STEP_MS) {
		const box = BOXES[(passed / STEP_MS) % BOXES.length] ?? BOXES[0]
		void fleet.request(box, tokens, 1)
		await advance(fleet, STEP_MS)
	}
}

async function restoreStore(
	fleet: BudgetTestFleet,
	copy: MemoryStoreCopy,
	{ cutOff, killed }: RestoreScenario,
): Promise<void> {
	for (const box of BOXES) fleet.setCutOff(box, true)
	for (const box of killed) fleet.kill(box, 2_000)
	await spendEvenly(fleet, STORE_OUTAGE_MS)
	fleet.store.restore(copy)
	for (const box of BOXES) fleet.setCutOff(box, cutOff.includes(box))
}

/** Tokens spent in all, of a budget that is asked for long beyond its end. */
async function tokensSpentIn(drill: RestoreScenario, budget: number): Promise<number> {
	const fleet = new BudgetTestFleet(budget, 0)
	const atStart = fleet.store.copy()
	await advance(fleet, CLAIM_ALL_MS)
	await spendEvenly(fleet, drill.copyAtMs)
	const copy = drill.copyAtMs === 0 ? atStart : fleet.store.copy()
	await spendEvenly(fleet, drill.copyAgeMs - STORE_OUTAGE_MS)
	for (const box of drill.cutOff) fleet.setCutOff(box, true)
	for (let i = 0; i < drill.restores; i++) {
		await restoreStore(fleet, copy, drill)
		await spendEvenly(fleet, 2_000)
	}
	await spendEvenly(fleet, 4_000)
	for (const box of BOXES) fleet.setCutOff(box, false)
	await spendEvenly(fleet, 25_000)
	vi.clearAllTimers()
	return fleet.spent
}

describe('a store that comes back from a copy', { timeout: 120_000 }, () => {
	beforeEach(() => void vi.useFakeTimers())
	afterEach(() => void vi.useRealTimers())

	it('gives no account more than its budget', async () => {
		const over: string[] = []
		for (const drill of SCENARIOS) {
			const spent = await tokensSpentIn(drill, BUDGET)
			if (spent > BUDGET) over.push(`${drill.name}: ${spent}`)
		}
		expect(over).toEqual([])
	})

	it('keeps what is not surely left of a large budget, and gives out the rest', async () => {
		const wrong: string[] = []
		for (const drill of SCENARIOS) {
			const spent = await tokensSpentIn(drill, LARGE_BUDGET)
			const least = (MIN_SPENT_FRACTIONS[drill.name] ?? 1) * LARGE_BUDGET
			if (spent > LARGE_BUDGET || spent < least) wrong.push(`${drill.name}: ${spent}`)
		}
		expect(wrong).toEqual([])
	})

	it.each([
		['each draws', BOXES, BOXES],
		['two draw for all', ['box-1', 'box-2'], BOXES],
		['seven boxes', SEVEN_BOXES, SEVEN_BOXES],
	])(
		'never lets the boxes together spend more than the budget: %s',
		async (_name, drawing, boxes) => {
			const days = fc.asyncProperty(
				fc.array(fleetEvent, { minLength: 60, maxLength: 160 }),
				fc.nat({ max: 1_000 }),
				async (happenings, fateSeed) => {
					const fleet = new BudgetTestFleet(LARGE_BUDGET, fateSeed, drawing, true, {}, boxes)
					const copies = new StoreCopies(fleet)
					await advance(fleet, CLAIM_ALL_MS)
					let bound = LARGE_BUDGET
					let version = 1
					for (const { kind, box, amount, pauseMs } of happenings) {
						const name = boxes[boxes === BOXES ? box : (box + amount) % boxes.length] ?? BOXES[0]
						if (kind === 'ask') void fleet.request(name, 200 * amount, 1)
						else if (kind === 'kill') fleet.kill(name, 20 * amount)
						else if (kind === 'stop') void fleet.stop(name)
						else if (kind === 'suspend') fleet.suspend(name, 200 * amount)
						else if (kind === 'cut' || kind === 'heal') fleet.setCutOff(name, kind === 'cut')
						else if (kind === 'restore') {
							const killed = boxes === BOXES ? 0 : amount % boxes.length
							for (let i = 0; i < killed; i++)
								fleet.kill(boxes[(box + 2 * i) % boxes.length] ?? '', 50 * amount)
							copies.restore(amount)
						} else if (kind === 'lower' || kind === 'raise') {
							const budget = kind === 'lower' ? LOWERED_BUDGET : LARGE_BUDGET
							fleet.setBudgets(++version, { [ACCOUNT]: budget })
							bound = Math.max(budget, fleet.spent)
						} else fleet.setStoreFaults(kind === 'storm')
						await copies.advance(pauseMs)
						expect(fleet.spent).toBeLessThanOrEqual(bound)
					}
					vi.clearAllTimers()
				},
			)
			await fc.assert(days, { seed: PROPERTY_SEED, numRuns: PROPERTY_RUNS, endOnFailure: true })
		},
	)
})
