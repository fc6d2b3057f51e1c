/** Slopes of control cost in virtual time and of state in memory: `npm run bench:capacity`. */
import {
	brandId,
	emptyZoneLedger,
	entryKey,
	grantToBox,
	getOrCreateLedgerBudget,
	raiseAllotment,
	raiseCounters,
	SliceLedger,
	type BoxName,
	type BudgetName,
	type IdempotencyRecord,
	type Incarnation,
	type ZoneLedgerValue,
} from '@stallwing/core'
import { describeFit, fitLine } from './lib/fitLine.js'
import { measureControlCost, type ControlCost } from './lib/measureControlCost.js'

type Point = readonly [number, number]
const PERCENT = 100

function print(text: string): void {
	process.stdout.write(`${text}\n`)
}

function printFit(name: string, points: readonly Point[]): void {
	print(`${name}: ${describeFit(points)}`)
}

function printSection(title: string): void {
	print(`\n${title}`)
}

measureByBoxesPerZone()
measureByRequestRate()
measureByBudgetCount()
measureByZoneCount()
measureLedgerSize()
measureBoxHeap()

/** Idle control by boxes in a zone. */
function measureByBoxesPerZone(): void {
	printSection('idle, by boxes in a zone (1 zone)')
	const rows = [2, 4, 8, 16].map((n): [number, ControlCost] => {
		return [n, measureControlCost({ zones: 1, boxesPerZone: n, requests: 0 }, 0)]
	})
	printControlCost(rows)
}

/** Control by requests a second and box. */
function measureByRequestRate(): void {
	printSection('by requests a second and box (1 zone of 8 boxes, 40 accounts)')
	const rows = [2, 5, 10, 15].map((rate): [number, ControlCost] => {
		const options = { zones: 1, boxesPerZone: 8, accounts: 40 }
		return [rate, measureControlCost(options, rate * 8)]
	})
	printControlCost(rows)
	for (const [rate, figures] of rows)
		print(
			`  at ${rate}: answered ${(figures.answeredShare * PERCENT).toFixed(2)} %, bytes/s by kind ${JSON.stringify(figures.bytesByKind)}`,
		)
}

/** Control by budgets in use. */
function measureByBudgetCount(): void {
	printSection('by budgets in use (1 zone of 4 boxes, 20 requests a second)')
	const rows = [10, 40, 160, 640].map((accounts): [number, ControlCost] => {
		return [accounts, measureControlCost({ zones: 1, boxesPerZone: 4, accounts }, 20)]
	})
	printControlCost(rows)
}

/** Platform calls by zones. */
function measureByZoneCount(): void {
	printSection('by zones (2 boxes each, 40 accounts, 4 requests a second and zone)')
	const rows = [1, 2, 4, 8].map((zones): [number, ControlCost] => {
		return [zones, measureControlCost({ zones, boxesPerZone: 2, accounts: 40 }, 4 * zones)]
	})
	printControlCost(rows)
}

function printControlCost(rows: readonly (readonly [number, ControlCost])[]): void {
	const pick = (read: (figures: ControlCost) => number): Point[] => {
		return rows.map(([x, figures]) => [x, read(figures)])
	}
	printFit(
		'  messages sent a second and box',
		pick((f) => f.messagesPerSecond),
	)
	printFit(
		'  bytes sent a second and box',
		pick((f) => f.bytesPerSecond),
	)
	printFit(
		'  bytes sent a second, keeper',
		pick((f) => f.leaderBytesPerSecond),
	)
	printFit(
		'  decisions, % of a core and box',
		pick((f) => f.cpuShare * PERCENT),
	)
	printFit(
		'  decisions, % of a core, keeper',
		pick((f) => f.leaderCpuShare * PERCENT),
	)
	printFit(
		'  platform reads a second',
		pick((f) => f.readsPerSecond),
	)
	printFit(
		'  platform writes a second',
		pick((f) => f.writesPerSecond),
	)
	printFit(
		'  platform watches a second',
		pick((f) => f.watchesPerSecond),
	)
}

/** Size of a ledger value and time to copy and encode it, by budgets. */
function measureLedgerSize(): void {
	printSection('zone ledger value by budgets (16 boxes hold money of each)')
	const sizes: Point[] = []
	const times: Point[] = []
	for (const budgets of [50, 100, 200, 400]) {
		const value = makeLedger(budgets, 16)
		sizes.push([budgets, JSON.stringify(value).length])
		times.push([budgets, averageMs(() => JSON.stringify(structuredClone(value)))])
	}
	printFit('  bytes', sizes)
	printFit('  ms to copy and encode', times)
	print(`  budgets that fit a megabyte: ${Math.floor(1_048_576 / fitLine(sizes).slope)}`)
}

function makeLedger(budgets: number, boxes: number): ZoneLedgerValue {
	const value = emptyZoneLedger()
	for (let b = 0; b < budgets; b++) {
		const row = getOrCreateLedgerBudget(value, brandId<BudgetName>(`budget-${b}`))
		raiseAllotment(row, 100_000_000)
		for (let i = 0; i < boxes; i++) {
			const incarnation = brandId<Incarnation>('0mx5ycai9x-5609e5')
			const key = entryKey(brandId<BoxName>(`zone-a-box-${i}`), incarnation)
			grantToBox(row, key, 1_000_000)
			raiseCounters(row, key, { granted: 0, returned: 0, billed: 123_456, sent: 0, received: 0 })
		}
	}
	return value
}

function averageMs(work: () => unknown): number {
	const rounds = 20
	work()
	const begun = performance.now()
	for (let i = 0; i < rounds; i++) work()
	return (performance.now() - begun) / rounds
}

/** Heap of identity records and slices. */
function measureBoxHeap(): void {
	printSection('heap of a box')
	printFit('  bytes by identity records', measureHeapBytes([5_000, 20_000, 80_000], makeRecords))
	printFit('  bytes by slices', measureHeapBytes([1_000, 4_000, 16_000], makeSlices))
}

function measureHeapBytes(counts: readonly number[], make: (count: number) => unknown): Point[] {
	return counts.map((count) => {
		globalThis.gc?.()
		const before = process.memoryUsage().heapUsed
		const kept = make(count)
		globalThis.gc?.()
		const bytes = process.memoryUsage().heapUsed - before
		return [kept ? count : 0, bytes]
	})
}

function makeRecords(count: number): Map<string, IdempotencyRecord> {
	const records = new Map<string, IdempotencyRecord>()
	for (let i = 0; i < count; i++) {
		const id = brandId<IdempotencyRecord['id']>(`account-${i % 50}/zone-a.mx5ycai9.k${i}`)
		records.set(id, {
			id,
			bodyHash: `hash-of-a-body-${i}`,
			repeatable: true,
			turn: 1,
			state: 'billed',
			box: brandId<BoxName>('zone-a-box-1'),
			incarnation: brandId<Incarnation>('0mx5ycai9x-5609e5'),
			target: brandId<NonNullable<IdempotencyRecord['target']>>('engine-1'),
			budget: brandId<BudgetName>('budget-1'),
			amount: i,
			at: i,
		})
	}
	return records
}

function makeSlices(count: number): SliceLedger {
	const ledger = new SliceLedger()
	for (let i = 0; i < count; i++) ledger.grant(brandId<BudgetName>(`budget-${i}`), 1_000)
	return ledger
}
