import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { BoxName, BudgetName, Incarnation, ZoneName } from '../ids.js'
import {
	allotToZone,
	emptyShard,
	freeInShard,
	outstandingInShard,
	raiseZoneCounters,
	setPrepaid,
	type ShardBudget,
} from './BudgetShard.js'
import { SliceLedger, balanceOf } from './SliceLedger.js'
import {
	billedInZone,
	emptyZoneLedger,
	entryKey,
	freeInZone,
	getOrCreateLedgerBudget,
	grantToBox,
	inDoubtInZone,
	raiseAllotment,
	raiseCounters,
	releaseEntry,
	returnToShard,
	sealEntry,
	type LedgerBudget,
} from './ZoneLedger.js'

const BUDGET = 'b' as BudgetName
const ZONE = 'z' as ZoneName
const PREPAID = 10_000
const SEED = 20_261_202

/** One budget in shard, zone ledger and boxes, with messages that may be delayed, lost or duplicated. */
class BudgetModel {
	readonly shard: ShardBudget
	readonly row: LedgerBudget
	readonly boxes = [0, 1, 2].map((i) => this.newBox(i))
	spent = 0

	constructor() {
		const value = emptyShard()
		setPrepaid(value, BUDGET, PREPAID, 1)
		this.shard = value.budgets[BUDGET] as ShardBudget
		this.row = getOrCreateLedgerBudget(emptyZoneLedger(), BUDGET)
	}

	newBox(i: number) {
		const key = entryKey(`box-${i}` as BoxName, 'i1' as Incarnation)
		return {
			key,
			ledger: new SliceLedger(),
			reserved: [] as number[],
			watermark: 0,
			hasEnded: false,
		}
	}

	check(): void {
		expect(outstandingInShard(this.shard)).toBeLessThanOrEqual(PREPAID)
		expect(freeInZone(this.row)).toBeGreaterThanOrEqual(0)
		expect(this.spent).toBeLessThanOrEqual(PREPAID)
		expect(billedInZone(this.row)).toBeLessThanOrEqual(this.spent)
	}
}

type ModelStep = (model: BudgetModel) => void
const amount = fc.integer({ min: 0, max: 3_000 })
const box = fc.integer({ min: 0, max: 2 })

function runningBox(model: BudgetModel, i: number) {
	const found = model.boxes[i]
	return found && !found.hasEnded ? found : undefined
}

const steps: fc.Arbitrary<ModelStep> = fc.oneof(
	amount.map((want): ModelStep => (model) => {
		allotToZone(model.shard, ZONE, want)
		raiseAllotment(model.row, model.shard.zones[ZONE]?.allotted ?? 0)
	}),
	fc.tuple(box, amount, fc.boolean()).map(([i, want, delivered]): ModelStep => (model) => {
		const to = runningBox(model, i)
		if (!to) return
		grantToBox(model.row, to.key, want)
		if (delivered) to.ledger.grant(BUDGET, model.row.entries[to.key]?.granted ?? 0)
	}),
	fc.tuple(box, amount).map(([i, maxCharge]): ModelStep => (model) => {
		const running = runningBox(model, i)
		if (!running || !running.ledger.reserve(BUDGET, maxCharge)) return
		running.reserved.push(maxCharge)
		running.watermark = Math.max(running.watermark, running.ledger.drawn(BUDGET))
	}),
	fc
		.tuple(box, fc.double({ min: 0, max: 1, noNaN: true }))
		.map(([i, share]): ModelStep => (model) => {
			const running = runningBox(model, i)
			const maxCharge = running?.reserved.shift()
			if (!running || maxCharge === undefined) return
			const charge = Math.floor(maxCharge * share)
			running.ledger.settle(BUDGET, maxCharge, charge)
			model.spent += charge
		}),
	fc.tuple(box, amount).map(([i, idle]): ModelStep => (model) => {
		runningBox(model, i)?.ledger.returnIdle(BUDGET, idle)
	}),
	box.map((i): ModelStep => (model) => {
		const running = runningBox(model, i)
		if (running) raiseCounters(model.row, running.key, running.ledger.counters(BUDGET))
	}),
	fc.tuple(box, box, amount, fc.boolean()).map(([a, b, idle, delivered]): ModelStep => (model) => {
		const from = runningBox(model, a)
		const to = runningBox(model, b)
		if (!from || !to || a === b) return
		const total = from.ledger.sendTo(BUDGET, to.key, idle)
		if (delivered) to.ledger.receiveFrom(BUDGET, from.key, total)
		if (delivered) to.ledger.receiveFrom(BUDGET, from.key, total)
	}),
	amount.map((idle): ModelStep => (model) => {
		const returned = returnToShard(model.row, idle)
		const billed = billedInZone(model.row)
		raiseZoneCounters(model.shard, ZONE, { returned, billed, inDoubt: inDoubtInZone(model.row) })
	}),
	fc.tuple(box, fc.boolean()).map(([i, isReleased]): ModelStep => (model) => {
		const running = runningBox(model, i)
		if (!running) return
		running.hasEnded = true
		const { billed, sent, received, returned } = running.ledger.counters(BUDGET)
		const { watermark } = running
		sealEntry(model.row, running.key, { billed, sent, received, returned, watermark })
		if (isReleased) releaseEntry(model.row, running.key)
	}),
)

describe('budget shard, zone ledger and slices', () => {
	it('never spend more than the prepaid amount if messages are lost, delayed or duplicated', () => {
		fc.assert(
			fc.property(fc.array(steps, { maxLength: 80 }), (list) => {
				const model = new BudgetModel()
				for (const step of list) {
					step(model)
					model.check()
				}
			}),
			{ seed: SEED, numRuns: 1_000 },
		)
	})

	it('count a duplicated or older transfer once', () => {
		const ledger = new SliceLedger()
		expect(ledger.receiveFrom(BUDGET, 'a#1', 50)).toBe(50)
		expect(ledger.receiveFrom(BUDGET, 'a#1', 50)).toBe(0)
		expect(ledger.receiveFrom(BUDGET, 'a#1', 20)).toBe(0)
		expect(balanceOf(ledger.counters(BUDGET))).toBe(50)
	})

	it('do not lower the prepaid amount below what is allotted', () => {
		const value = emptyShard()
		setPrepaid(value, BUDGET, 100, 1)
		const row = value.budgets[BUDGET] as ShardBudget
		allotToZone(row, ZONE, 60)
		expect(setPrepaid(value, BUDGET, 50, 2)).toBe(60)
		expect(freeInShard(row)).toBe(0)
	})

	it('ignore the prepaid amount of an older bundle', () => {
		const value = emptyShard()
		setPrepaid(value, BUDGET, 100, 5)
		expect(setPrepaid(value, BUDGET, 900, 4)).toBe(100)
	})
})
