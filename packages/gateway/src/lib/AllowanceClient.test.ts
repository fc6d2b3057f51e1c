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

/** Randomised days and their seed; by hand, more and others. */
const PROPERTY_RUNS = Number(process.env['MONEY_RUNS'] ?? 300)
const PROPERTY_SEED = Number(process.env['MONEY_SEED'] ?? 20261202)
const BUDGET = 10_000
/** A budget whose end is far: ceilings are at their widest. */
const LARGE_BUDGET = 30_000
/** A budget that runs dry within a randomised run: only then does a token too many show. */
const SMALL_BUDGET = 3_000
const LOWERED_BUDGET = 1_200
/** Times for which machines are suspended, in ms. */
const SUSPENSIONS_MS = [100, 700, 2_000, 3_600, 8_000, 30_000]

/** One thing that happens, after a pause. */
interface FleetEvent {
	readonly pauseMs: number
	readonly box: number
	readonly kind:
		| 'ask'
		| 'kill'
		| 'stop'
		| 'cut'
		| 'heal'
		| 'storm'
		| 'calm'
		| 'lower'
		| 'raise'
		| 'suspend'
		| 'set-time'
	readonly tokens: number
	/** Part of the reservation that is charged. */
	readonly chargedPart: number
}

const fleetEvent: fc.Arbitrary<FleetEvent> = fc.record({
	pauseMs: fc.constantFrom(1, 5, 40, 200, 900, 2_500),
	box: fc.nat({ max: BOXES.length - 1 }),
	kind: fc.constantFrom(
		...([
			'ask',
			'ask',
			'ask',
			'ask',
			'ask',
			'kill',
			'stop',
			'cut',
			'heal',
			'storm',
			'calm',
			'lower',
			'raise',
			'suspend',
			'set-time',
		] as const),
	),
	tokens: fc.integer({ min: 1, max: 400 }),
	chargedPart: fc.constantFrom(0, 0.3, 1, 1, 1),
})

describe('AllowanceClient', () => {
	beforeEach(() => void vi.useFakeTimers())
	afterEach(() => void vi.useRealTimers())

	it.each([
		['each draws', BOXES],
		['one draws for all', ['box-1']],
		['two draw for all', ['box-1', 'box-2']],
	])('never lets the boxes together spend more than the budget: %s', async (_name, drawing) => {
		const runs = fc.asyncProperty(
			fc.array(fleetEvent, { minLength: 40, maxLength: 120 }),
			fc.nat({ max: 1_000 }),
			async (happenings, fateSeed) => {
				const fleet = new BudgetTestFleet(SMALL_BUDGET, fateSeed, drawing)
				await advance(fleet, CLAIM_ALL_MS)
				// What was spent or set aside when a budget was lowered below it can't be taken back.
				let bound = SMALL_BUDGET
				let revision = 1
				for (const { kind, box, tokens, chargedPart, pauseMs } of happenings) {
					const name = BOXES[box] ?? BOXES[0]
					if (kind === 'ask') void fleet.request(name, tokens, chargedPart)
					else if (kind === 'kill') fleet.kill(name)
					else if (kind === 'stop') void fleet.stop(name)
					else if (kind === 'suspend')
						fleet.suspend(name, SUSPENSIONS_MS[tokens % SUSPENSIONS_MS.length] ?? 0)
					else if (kind === 'set-time') fleet.setWallClockOffset(name, (tokens - 200) * 50)
					else if (kind === 'cut' || kind === 'heal') fleet.setCutOff(name, kind === 'cut')
					else if (kind === 'lower' || kind === 'raise') {
						const budget = kind === 'lower' ? LOWERED_BUDGET : SMALL_BUDGET
						fleet.setBudgets(++revision, { [ACCOUNT]: budget })
						bound = Math.max(budget, fleet.spent)
					} else fleet.setStoreFaults(kind === 'storm')
					await advance(fleet, pauseMs)
					expect(fleet.spent).toBeLessThanOrEqual(bound)
				}
				expect(fleet.unreadableRecords).toBe(0)
				vi.clearAllTimers()
			},
		)
		await fc.assert(runs, { seed: PROPERTY_SEED, numRuns: PROPERTY_RUNS, endOnFailure: true })
	})

	it.each([
		['each draws', BOXES],
		['one draws for all', ['box-1']],
	])('spends nearly all of a budget, wherever the requests arrive: %s', async (_name, drawing) => {
		const fleet = new BudgetTestFleet(BUDGET, 0, drawing, drawing === BOXES)
		await advance(fleet, CLAIM_ALL_MS)
		for (let i = 0; i < 400; i++) {
			void fleet.request(BOXES[i % BOXES.length] ?? BOXES[0], 40, 1)
			await advance(fleet, 50)
		}
		expect(fleet.spent).toBeGreaterThan(0.97 * BUDGET)
	})

	it.each([
		['a kill', 600],
		['a loss of power', 2_200],
	])('takes only the promised ceiling as spent after %s', async (_name, downMs) => {
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
		// Near its end a ceiling allows half a second of demand in advance, at each box.
		expect(fleet.spent).toBeGreaterThan(0.92 * BUDGET)
		expect(fleet.spent).toBeLessThanOrEqual(BUDGET)
	})

	it('takes all that was drawn as spent when the promise may have been over', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0)
		await advance(fleet, CLAIM_ALL_MS)
		expect(await requestAndWait(fleet, 'box-1', 500)).toBe(true)
		fleet.setCutOff('box-1', true)
		await advance(fleet, 6_000)
		// Beyond the promise, the box spends all that it drew.
		let spentInCut = 0
		for (let i = 0; i < 40; i++) if (await requestAndWait(fleet, 'box-1', 50)) spentInCut += 50
		expect(spentInCut).toBeGreaterThan(0)
		fleet.kill('box-1')
		fleet.setCutOff('box-1', false)
		await advance(fleet, 2_000)
		for (let i = 0; i < 400; i++)
			await requestAndWait(fleet, BOXES[i % BOXES.length] ?? BOXES[0], 100)
		expect(fleet.spent).toBeLessThanOrEqual(BUDGET)
	})

	it('gives back what is free when it stops, and hands it over when the store is away', async () => {
		for (const cut of [false, true]) {
			const fleet = new BudgetTestFleet(BUDGET, 0)
			await advance(fleet, CLAIM_ALL_MS)
			for (let i = 0; i < 20; i++) {
				void fleet.request('box-1', 100, 1)
				await advance(fleet, 50)
			}
			fleet.setCutOff('box-1', cut)
			await advance(fleet, cut ? SPENDING_LIMIT_VALIDITY_MS + 3_000 : 0)
			void fleet.stop('box-1')
			await advance(fleet, 4_000)
			fleet.setCutOff('box-1', false)
			for (let i = 0; i < 200; i++)
				await requestAndWait(fleet, BOXES[i % BOXES.length] ?? BOXES[0], 50)
			expect(fleet.spent).toBeGreaterThan(0.97 * BUDGET)
			expect(fleet.spent).toBeLessThanOrEqual(BUDGET)
		}
	})

	it('keeps to a lowered budget, also for an account that was away in between', async () => {
		for (const between of [undefined, {}]) {
			const fleet = new BudgetTestFleet(BUDGET, 0)
			await advance(fleet, CLAIM_ALL_MS)
			for (let i = 0; i < 10; i++)
				await requestAndWait(fleet, BOXES[i % BOXES.length] ?? BOXES[0], 100)
			if (between) fleet.setBudgets(2, between)
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

	it('keeps to a lowered budget where other boxes draw', async () => {
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

	it('serves a box that does not draw through a cut of all boxes from the store', async () => {
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

	it('goes to the next box where one is late, and keeps the tokens that come late', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0, ['box-1', 'box-2'], false, { 'box-1': 700 })
		await advance(fleet, CLAIM_ALL_MS)
		const began = Date.now()
		const first = fleet.request('box-3', 300, 1).then((got) => ({ got, after: Date.now() - began }))
		await advance(fleet, 400)
		expect(await first).toEqual({ got: true, after: expect.any(Number) })
		expect((await first).after).toBeLessThan(200)
		await advance(fleet, 800)
		for (const box of BOXES) fleet.setCutOff(box, true)
		fleet.kill('box-2')
		const second = fleet.request('box-3', 300, 1)
		await vi.advanceTimersByTimeAsync(1)
		expect(await second).toBe(true)
	})

	it('claims nothing and calls the store for nothing where it does not draw', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0, ['box-1'])
		await advance(fleet, CLAIM_ALL_MS)
		for (let i = 0; i < 10; i++) await requestAndWait(fleet, 'box-3', 50)
		expect(fleet.spent).toBeGreaterThan(0)
		expect(fleet.storeCallsOf('box-3')).toBe(0)
	})

	it('writes little for requests that no draw can serve', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0, ['box-1', 'box-2'], false)
		await advance(fleet, CLAIM_ALL_MS)
		for (let i = 0; i < 18; i++) {
			void fleet.request(BOXES[i % 2] ?? BOXES[0], 490, 1)
			await advance(fleet, 50)
		}
		await advance(fleet, 1_000)
		const before = fleet.store.calls.get('write') ?? 0
		for (let i = 0; i < 100; i++) {
			void fleet.request('box-3', 1_100, 1)
			await advance(fleet, 20)
		}
		// Two seconds: a promise of each lender is renewed, and each tells the other once a second.
		expect((fleet.store.calls.get('write') ?? 0) - before).toBeLessThan(12)
	})

	it('goes on drawing after a record that it could not read', async () => {
		const fleet = new BudgetTestFleet(BUDGET, 0)
		await advance(fleet, CLAIM_ALL_MS)
		const good = fleet.store.text('allowance') ?? ''
		fleet.store.put('allowance', 'not a record')
		await advance(fleet, 3_000)
		expect(await requestAndWait(fleet, 'box-1', 9_000)).toBe(false)
		fleet.store.put('allowance', good)
		await advance(fleet, 3_000)
		expect(await requestAndWait(fleet, 'box-1', 2_000)).toBe(true)
	})

	it('answers at once when the store and the other boxes have nothing', async () => {
		const fleet = new BudgetTestFleet(100, 0)
		await advance(fleet, CLAIM_ALL_MS)
		expect(await requestAndWait(fleet, 'box-1', 60)).toBe(true)
		const before = Date.now()
		const second = fleet
			.request('box-2', 60, 1)
			.then((got) => ({ got, after: Date.now() - before }))
		await vi.advanceTimersByTimeAsync(2_000)
		const { got, after } = await second
		expect(got).toBe(false)
		expect(after).toBeLessThan(500)
	})
})
