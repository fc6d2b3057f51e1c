import { SPENDING_LIMIT_VALIDITY_MS } from '@stallwing/core'
import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import {
	ACCOUNT,
	BOXES,
	BudgetTestFleet,
	CLAIM_ALL_MS,
	requestAndWait,
	advance,
} from './testBudgetFleet.js'

/** Number and seed of the randomised runs; environment variables override both. */
const PROPERTY_RUNS = Number(process.env['MONEY_RUNS'] ?? 300)
const PROPERTY_SEED = Number(process.env['MONEY_SEED'] ?? 20261202)
const BUDGET = 10_000
/** A budget that is far from exhausted, so that spending limits are at their highest. */
const LARGE_BUDGET = 30_000
/** A budget that a randomised run exhausts, so that overspending shows. */
const SMALL_BUDGET = 3_000
const LOWERED_BUDGET = 1_200
/** Durations for which boxes are suspended, in ms. */
const SUSPENSIONS_MS = [100, 700, 2_000, 3_600, 8_000, 30_000]

/** An event, followed by a delay. */
interface FleetEvent {
	readonly delayMs: number
	readonly box: number
	readonly kind:
		| 'request'
		| 'kill'
		| 'stop'
		| 'cut'
		| 'reconnect'
		| 'store-faults'
		| 'no-store-faults'
		| 'lower'
		| 'raise'
		| 'suspend'
		| 'set-wall-clock'
	readonly tokens: number
	/** Fraction of the reserved tokens that is charged. */
	readonly chargedFraction: number
}

const fleetEvent: fc.Arbitrary<FleetEvent> = fc.record({
	delayMs: fc.constantFrom(1, 5, 40, 200, 900, 2_500),
	box: fc.nat({ max: BOXES.length - 1 }),
	kind: fc.constantFrom(
		...([
			'request',
			'request',
			'request',
			'request',
			'request',
			'kill',
			'stop',
			'cut',
			'reconnect',
			'store-faults',
			'no-store-faults',
			'lower',
			'raise',
			'suspend',
			'set-wall-clock',
		] as const),
	),
	tokens: fc.integer({ min: 1, max: 400 }),
	chargedFraction: fc.constantFrom(0, 0.3, 1, 1, 1),
})

describe('AllowanceClient', () => {
	beforeEach(() => void vi.useFakeTimers())
	afterEach(() => void vi.useRealTimers())

	it.each([
		['all boxes draw', BOXES],
		['one box draws', ['box-1']],
		['two boxes draw', ['box-1', 'box-2']],
	])('never spends more than the budget in the whole fleet: %s', async (_name, drawingBoxes) => {
		const runs = fc.asyncProperty(
			fc.array(fleetEvent, { minLength: 40, maxLength: 120 }),
			fc.nat({ max: 1_000 }),
			async (events, faultSeed) => {
				const fleet = new BudgetTestFleet(SMALL_BUDGET, faultSeed, drawingBoxes)
				await advance(fleet, CLAIM_ALL_MS)
				// Tokens that were spent or reserved before a budget was reduced cannot be taken back.
				let maxSpent = SMALL_BUDGET
				let version = 1
				for (const { kind, box, tokens, chargedFraction, delayMs } of events) {
					const name = BOXES[box] ?? BOXES[0]
					if (kind === 'request') void fleet.request(name, tokens, chargedFraction)
					else if (kind === 'kill') fleet.kill(name)
					else if (kind === 'stop') void fleet.stop(name)
					else if (kind === 'suspend')
						fleet.suspend(name, SUSPENSIONS_MS[tokens % SUSPENSIONS_MS.length] ?? 0)
					else if (kind === 'set-wall-clock') fleet.setWallClockOffset(name, (tokens - 200) * 50)
					else if (kind === 'cut' || kind === 'reconnect') fleet.setCutOff(name, kind === 'cut')
					else if (kind === 'lower' || kind === 'raise') {
						const budget = kind === 'lower' ? LOWERED_BUDGET : SMALL_BUDGET
						fleet.setBudgets(++version, { [ACCOUNT]: budget })
						maxSpent = Math.max(budget, fleet.spent)
					} else fleet.setStoreFaults(kind === 'store-faults')
					await advance(fleet, delayMs)
					expect(fleet.spent).toBeLessThanOrEqual(maxSpent)
				}
				expect(fleet.unreadableRecords).toBe(0)
				vi.clearAllTimers()
			},
		)
		await fc.assert(runs, { seed: PROPERTY_SEED, numRuns: PROPERTY_RUNS, endOnFailure: true })
	})

	it.each([
		['all boxes draw', BOXES],
		['one box draws', ['box-1']],
	])(
		'spends nearly all of a budget, whichever boxes receive the requests: %s',
		async (_name, drawingBoxes) => {
			const fleet = new BudgetTestFleet(BUDGET, 0, drawingBoxes, drawingBoxes === BOXES)
			await advance(fleet, CLAIM_ALL_MS)
			for (let i = 0; i < 400; i++) {
				void fleet.request(BOXES[i % BOXES.length] ?? BOXES[0], 40, 1)
				await advance(fleet, 50)
			}
			expect(fleet.spent).toBeGreaterThan(0.97 * BUDGET)
		},
	)

	it.each([
		['a kill', 600],
		['a loss of power', 2_200],
	])('counts only the spending limits as spent after %s', async (_name, downMs) => {
		const fleet = new BudgetTestFleet(BUDGET, 0)
		await advance(fleet, CLAIM_ALL_MS)
		for (let i = 0; i < 100; i++) {
			void fleet.request(BOXES[i % BOXES.length] ?? BOXES[0], 90, 1)
			await advance(fleet, 50)
		}
		for (const box of BOXES) fleet.kill(box, downMs)
		await advance(fleet, downMs + 1_500)
		for (let i = 0; i < 100; i++) {
			void fleet.request(BOXES[i % BOXES.length] ?? BOXES[0], 20, 1)
			await advance(fleet, 50)
		}
		// Near exhaustion, the spending limit of each box exceeds its spent tokens by half a second of demand.
		expect(fleet.spent).toBeGreaterThan(0.92 * BUDGET)
		expect(fleet.spent).toBeLessThanOrEqual(BUDGET)
	})

	it('counts all drawn tokens as spent if the spending limits may have expired', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0)
		await advance(fleet, CLAIM_ALL_MS)
		expect(await requestAndWait(fleet, 'box-1', 500)).toBe(true)
		fleet.setCutOff('box-1', true)
		await advance(fleet, 6_000)
		// After its spending limits have expired, the box spends all that it drew.
		let spentWhileCutOff = 0
		for (let i = 0; i < 40; i++)
			if (await requestAndWait(fleet, 'box-1', 50)) spentWhileCutOff += 50
		expect(spentWhileCutOff).toBeGreaterThan(0)
		fleet.kill('box-1')
		fleet.setCutOff('box-1', false)
		await advance(fleet, 2_000)
		for (let i = 0; i < 400; i++)
			await requestAndWait(fleet, BOXES[i % BOXES.length] ?? BOXES[0], 100)
		expect(fleet.spent).toBeLessThanOrEqual(BUDGET)
	})

	it('returns its free tokens when it stops, or transfers them if the store is unreachable', async () => {
		for (const isCutOff of [false, true]) {
			const fleet = new BudgetTestFleet(BUDGET, 0)
			await advance(fleet, CLAIM_ALL_MS)
			for (let i = 0; i < 20; i++) {
				void fleet.request('box-1', 100, 1)
				await advance(fleet, 50)
			}
			fleet.setCutOff('box-1', isCutOff)
			await advance(fleet, isCutOff ? SPENDING_LIMIT_VALIDITY_MS + 3_000 : 0)
			void fleet.stop('box-1')
			await advance(fleet, 4_000)
			fleet.setCutOff('box-1', false)
			for (let i = 0; i < 200; i++)
				await requestAndWait(fleet, BOXES[i % BOXES.length] ?? BOXES[0], 50)
			expect(fleet.spent).toBeGreaterThan(0.97 * BUDGET)
			expect(fleet.spent).toBeLessThanOrEqual(BUDGET)
		}
	})

	it('enforces a reduced budget, also for an account that was removed in between', async () => {
		for (const budgetsBetween of [undefined, {}]) {
			const fleet = new BudgetTestFleet(BUDGET, 0)
			await advance(fleet, CLAIM_ALL_MS)
			for (let i = 0; i < 10; i++)
				await requestAndWait(fleet, BOXES[i % BOXES.length] ?? BOXES[0], 100)
			if (budgetsBetween) fleet.setBudgets(2, budgetsBetween)
			fleet.setBudgets(3, { [ACCOUNT]: 1_500 })
			for (let i = 0; i < 60; i++)
				await requestAndWait(fleet, BOXES[i % BOXES.length] ?? BOXES[0], 100)
			expect(fleet.spent).toBeLessThanOrEqual(1_500)
			fleet.setBudgets(4, { [ACCOUNT]: 3_000 })
			for (let i = 0; i < 60; i++)
				await requestAndWait(fleet, BOXES[i % BOXES.length] ?? BOXES[0], 100)
			expect(fleet.spent).toBeGreaterThan(2_800)
			expect(fleet.spent).toBeLessThanOrEqual(3_000)
		}
	})

	it('enforces a reduced budget on a box that borrows', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0, ['box-1'])
		await advance(fleet, CLAIM_ALL_MS)
		for (let i = 0; i < 10; i++) void fleet.request('box-3', 100, 0.2)
		await advance(fleet, 100)
		fleet.setBudgets(3, { [ACCOUNT]: 400 })
		for (let i = 0; i < 20; i++) await requestAndWait(fleet, 'box-3', 50)
		expect(fleet.spent).toBeLessThanOrEqual(400)
		fleet.setBudgets(4, { [ACCOUNT]: 3_000 })
		for (let i = 0; i < 60; i++)
			await requestAndWait(fleet, BOXES[i % BOXES.length] ?? BOXES[0], 100)
		expect(fleet.spent).toBeGreaterThan(1_500)
		expect(fleet.spent).toBeLessThanOrEqual(3_000)
	})

	it('keeps lending to a box that does not draw while all boxes are cut off from the store', async () => {
		const fleet = new BudgetTestFleet(LARGE_BUDGET, 0, ['box-1'], false)
		await advance(fleet, CLAIM_ALL_MS)
		for (let i = 0; i < 60; i++) {
			void fleet.request('box-3', 20, 1)
			await advance(fleet, 50)
		}
		const before = fleet.spent
		for (const box of BOXES) fleet.setCutOff(box, true)
		for (let i = 0; i < 60; i++) {
			void fleet.request('box-3', 20, 1)
			await advance(fleet, 50)
		}
		expect(fleet.spent - before).toBeGreaterThan(0.97 * 60 * 20)
	})

	it('contacts the next lender if one is late, and keeps the tokens that arrive late', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0, ['box-1', 'box-2'], false, { 'box-1': 700 })
		await advance(fleet, CLAIM_ALL_MS)
		const startedAt = Date.now()
		const first = fleet
			.request('box-3', 300, 1)
			.then((isReserved) => ({ isReserved, afterMs: Date.now() - startedAt }))
		await advance(fleet, 400)
		expect(await first).toEqual({ isReserved: true, afterMs: expect.any(Number) })
		expect((await first).afterMs).toBeLessThan(200)
		await advance(fleet, 800)
		for (const box of BOXES) fleet.setCutOff(box, true)
		fleet.kill('box-2')
		const second = fleet.request('box-3', 300, 1)
		await vi.advanceTimersByTimeAsync(1)
		expect(await second).toBe(true)
	})

	it('makes no claim and no store call on a box that does not draw', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0, ['box-1'])
		await advance(fleet, CLAIM_ALL_MS)
		for (let i = 0; i < 10; i++) await requestAndWait(fleet, 'box-3', 50)
		expect(fleet.spent).toBeGreaterThan(0)
		expect(fleet.storeCallsOf('box-3')).toBe(0)
	})

	it('rarely writes to the store for requests that no draw can serve', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0, ['box-1', 'box-2'], false)
		await advance(fleet, CLAIM_ALL_MS)
		for (let i = 0; i < 18; i++) {
			void fleet.request(BOXES[i % 2] ?? BOXES[0], 490, 1)
			await advance(fleet, 50)
		}
		await advance(fleet, 1_000)
		const before = fleet.store.callCounts.get('write') ?? 0
		for (let i = 0; i < 100; i++) {
			void fleet.request('box-3', 1_100, 1)
			await advance(fleet, 20)
		}
		// Within these two seconds, each lender only renews its spending limits and publishes its spent tokens
		// about once per second.
		expect((fleet.store.callCounts.get('write') ?? 0) - before).toBeLessThan(12)
	})

	it('resumes drawing after it read an invalid record', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0)
		await advance(fleet, CLAIM_ALL_MS)
		const validRecord = fleet.store.getText('allowance') ?? ''
		fleet.store.put('allowance', 'not a record')
		await advance(fleet, 3_000)
		expect(await requestAndWait(fleet, 'box-1', 9_000)).toBe(false)
		fleet.store.put('allowance', validRecord)
		await advance(fleet, 3_000)
		expect(await requestAndWait(fleet, 'box-1', 2_000)).toBe(true)
	})

	it('refuses quickly if neither the store nor another box has tokens left', async () => {
		const fleet = new BudgetTestFleet(100, 0)
		await advance(fleet, CLAIM_ALL_MS)
		expect(await requestAndWait(fleet, 'box-1', 60)).toBe(true)
		const before = Date.now()
		const second = fleet
			.request('box-2', 60, 1)
			.then((isReserved) => ({ isReserved, afterMs: Date.now() - before }))
		await vi.advanceTimersByTimeAsync(2_000)
		const { isReserved, afterMs } = await second
		expect(isReserved).toBe(false)
		expect(afterMs).toBeLessThan(500)
	})
})
