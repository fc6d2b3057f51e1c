import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { BudgetName, BoxName, Incarnation, ZoneName } from '../ids.js'
import {
	allotToZone,
	emptyShard,
	freeInShard,
	raiseZoneCounters,
	outstandingInShard,
	setPrepaid,
	type ShardBudget,
} from './BudgetShard.js'
import { SliceLedger, balanceOf } from './SliceLedger.js'
import {
	billedInZone,
	emptyZoneLedger,
	entryKey,
	freeInZone,
	returnToShard,
	grantToBox,
	inDoubtInZone,
	getOrCreateLedgerBudget,
	raiseAllotment,
	raiseCounters,
	releaseEntry,
	sealEntry,
	type LedgerBudget,
} from './ZoneLedger.js'

const BUDGET = 'b' as BudgetName
const ZONE = 'z' as ZoneName
const PREPAID = 10_000
const SEED = 20_261_202

/** One budget through all three levels, with messages that may be late, lost or doubled. */
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
		return { key, ledger: new SliceLedger(), reserved: [] as number[], watermark: 0, gone: false }
	}

	check(): void {
		expect(outstandingInShard(this.shard)).toBeLessThanOrEqual(PREPAID)
		expect(freeInZone(this.row)).toBeGreaterThanOrEqual(0)
		expect(this.spent).toBeLessThanOrEqual(PREPAID)
		expect(billedInZone(this.row)).toBeLessThanOrEqual(this.spent)
	}
}

type ModelStep = (escrow: BudgetModel) => void
const amount = fc.integer({ min: 0, max: 3_000 })
const box = fc.integer({ min: 0, max: 2 })

function runningBox(escrow: BudgetModel, i: number) {
	const found = escrow.boxes[i]
	return found && !found.gone ? found : undefined
}

const steps: fc.Arbitrary<ModelStep> = fc.oneof(
	amount.map((want): ModelStep => (e) => {
		allotToZone(e.shard, ZONE, want)
		raiseAllotment(e.row, e.shard.zones[ZONE]?.allotted ?? 0)
	}),
	fc.tuple(box, amount, fc.boolean()).map(([i, want, delivered]): ModelStep => (e) => {
		const to = runningBox(e, i)
		if (!to) return
		grantToBox(e.row, to.key, want)
		if (delivered) to.ledger.grant(BUDGET, e.row.entries[to.key]?.granted ?? 0)
	}),
	fc.tuple(box, amount).map(([i, worst]): ModelStep => (e) => {
		const at = runningBox(e, i)
		if (!at || !at.ledger.reserve(BUDGET, worst)) return
		at.reserved.push(worst)
		at.watermark = Math.max(at.watermark, at.ledger.drawn(BUDGET))
	}),
	fc.tuple(box, fc.double({ min: 0, max: 1, noNaN: true })).map(([i, share]): ModelStep => (e) => {
		const at = runningBox(e, i)
		const worst = at?.reserved.shift()
		if (!at || worst === undefined) return
		const charge = Math.floor(worst * share)
		at.ledger.settle(BUDGET, worst, charge)
		e.spent += charge
	}),
	fc.tuple(box, amount).map(([i, idle]): ModelStep => (e) => {
		runningBox(e, i)?.ledger.returnIdle(BUDGET, idle)
	}),
	box.map((i): ModelStep => (e) => {
		const at = runningBox(e, i)
		if (at) raiseCounters(e.row, at.key, at.ledger.counters(BUDGET))
	}),
	fc.tuple(box, box, amount, fc.boolean()).map(([a, b, idle, delivered]): ModelStep => (e) => {
		const from = runningBox(e, a)
		const to = runningBox(e, b)
		if (!from || !to || a === b) return
		const total = from.ledger.sendTo(BUDGET, to.key, idle)
		if (delivered) to.ledger.receiveFrom(BUDGET, from.key, total)
		if (delivered) to.ledger.receiveFrom(BUDGET, from.key, total)
	}),
	amount.map((idle): ModelStep => (e) => {
		const returned = returnToShard(e.row, idle)
		const billed = billedInZone(e.row)
		raiseZoneCounters(e.shard, ZONE, { returned, billed, inDoubt: inDoubtInZone(e.row) })
	}),
	fc.tuple(box, fc.boolean()).map(([i, confesses]): ModelStep => (e) => {
		const at = runningBox(e, i)
		if (!at) return
		at.gone = true
		const { billed, sent, received, returned } = at.ledger.counters(BUDGET)
		const { watermark } = at
		sealEntry(e.row, at.key, { billed, sent, received, returned, watermark })
		if (confesses) releaseEntry(e.row, at.key)
	}),
)

describe('composed escrow', () => {
	it('never lets spend pass the prepaid amount, whatever is lost, late or doubled', () => {
		fc.assert(
			fc.property(fc.array(steps, { maxLength: 80 }), (list) => {
				const escrow = new BudgetModel()
				for (const step of list) {
					step(escrow)
					escrow.check()
				}
			}),
			{ seed: SEED, numRuns: 1_000 },
		)
	})

	it('counts a doubled or older transfer once', () => {
		const ledger = new SliceLedger()
		expect(ledger.receiveFrom(BUDGET, 'a#1', 50)).toBe(50)
		expect(ledger.receiveFrom(BUDGET, 'a#1', 50)).toBe(0)
		expect(ledger.receiveFrom(BUDGET, 'a#1', 20)).toBe(0)
		expect(balanceOf(ledger.counters(BUDGET))).toBe(50)
	})

	it('refuses a lower prepaid amount as far as the money is allotted', () => {
		const value = emptyShard()
		setPrepaid(value, BUDGET, 100, 1)
		const row = value.budgets[BUDGET] as ShardBudget
		allotToZone(row, ZONE, 60)
		expect(setPrepaid(value, BUDGET, 50, 2)).toBe(60)
		expect(freeInShard(row)).toBe(0)
	})

	it('ignores the prepaid amount of an older bundle', () => {
		const value = emptyShard()
		setPrepaid(value, BUDGET, 100, 5)
		expect(setPrepaid(value, BUDGET, 900, 4)).toBe(100)
	})
})
