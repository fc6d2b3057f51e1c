/**
 * Measures how control cost in simulations and the size of state grow: `npm run bench:capacity`.
 * Prints a linear fit for each quantity.
 */
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

function measureByBoxesPerZone(): void {
	printSection('idle, by boxes per zone (1 zone)')
	const rows = [2, 4, 8, 16].map((boxes): [number, ControlCost] => {
		return [boxes, measureControlCost({ zones: 1, boxesPerZone: boxes, requests: 0 }, 0)]
	})
	printControlCost(rows)
}

function measureByRequestRate(): void {
	printSection('by requests per second and box (1 zone of 8 boxes, 40 accounts)')
	const rows = [2, 5, 10, 15].map((rate): [number, ControlCost] => {
		const options = { zones: 1, boxesPerZone: 8, accounts: 40 }
		return [rate, measureControlCost(options, rate * 8)]
	})
	printControlCost(rows)
	for (const [rate, cost] of rows)
		print(
			`  at ${rate}: answered ${(cost.answeredShare * PERCENT).toFixed(2)} %, bytes/s by kind ${JSON.stringify(cost.bytesByKind)}`,
		)
}

function measureByBudgetCount(): void {
	printSection('by budgets in use (1 zone of 4 boxes, 20 requests per second)')
	const rows = [10, 40, 160, 640].map((accounts): [number, ControlCost] => {
		return [accounts, measureControlCost({ zones: 1, boxesPerZone: 4, accounts }, 20)]
	})
	printControlCost(rows)
}

function measureByZoneCount(): void {
	printSection('by zones (2 boxes each, 40 accounts, 4 requests per second and zone)')
	const rows = [1, 2, 4, 8].map((zones): [number, ControlCost] => {
		return [zones, measureControlCost({ zones, boxesPerZone: 2, accounts: 40 }, 4 * zones)]
	})
	printControlCost(rows)
}

function printControlCost(rows: readonly (readonly [number, ControlCost])[]): void {
	const pointsOf = (read: (cost: ControlCost) => number): Point[] => {
		return rows.map(([x, cost]) => [x, read(cost)])
	}
	printFit(
		'  messages sent per second and box',
		pointsOf((cost) => cost.messagesPerSecond),
	)
	printFit(
		'  bytes sent per second and box',
		pointsOf((cost) => cost.bytesPerSecond),
	)
	printFit(
		'  bytes sent per second, zone leader',
		pointsOf((cost) => cost.leaderBytesPerSecond),
	)
	printFit(
		'  core decisions, % of a CPU per box',
		pointsOf((cost) => cost.cpuShare * PERCENT),
	)
	printFit(
		'  core decisions, % of a CPU, zone leader',
		pointsOf((cost) => cost.leaderCpuShare * PERCENT),
	)
	printFit(
		'  platform reads per second',
		pointsOf((cost) => cost.readsPerSecond),
	)
	printFit(
		'  platform writes per second',
		pointsOf((cost) => cost.writesPerSecond),
	)
	printFit(
		'  platform watches per second',
		pointsOf((cost) => cost.watchesPerSecond),
	)
}

/** Measures the size of a zone ledger value and the time to copy and encode it, by number of budgets. */
function measureLedgerSize(): void {
	printSection('zone ledger value by budgets (16 boxes hold a slice of each)')
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
	for (let budget = 0; budget < budgets; budget++) {
		const row = getOrCreateLedgerBudget(value, brandId<BudgetName>(`budget-${budget}`))
		raiseAllotment(row, 100_000_000)
		for (let box = 0; box < boxes; box++) {
			const incarnation = brandId<Incarnation>('0mx5ycai9x-5609e5')
			const key = entryKey(brandId<BoxName>(`zone-a-box-${box}`), incarnation)
			grantToBox(row, key, 1_000_000)
			raiseCounters(row, key, { granted: 0, returned: 0, billed: 123_456, sent: 0, received: 0 })
		}
	}
	return value
}

function averageMs(run: () => unknown): number {
	const rounds = 20
	run()
	const startedAt = performance.now()
	for (let i = 0; i < rounds; i++) run()
	return (performance.now() - startedAt) / rounds
}

/** Measures the heap use of idempotency records and budget slices. */
function measureBoxHeap(): void {
	printSection('heap of a box')
	printFit('  bytes by idempotency records', measureHeapBytes([5_000, 20_000, 80_000], makeRecords))
	printFit('  bytes by slices', measureHeapBytes([1_000, 4_000, 16_000], makeSlices))
}

function measureHeapBytes(counts: readonly number[], create: (count: number) => unknown): Point[] {
	return counts.map((count) => {
		globalThis.gc?.()
		const before = process.memoryUsage().heapUsed
		const retained = create(count)
		globalThis.gc?.()
		const bytes = process.memoryUsage().heapUsed - before
		return [retained ? count : 0, bytes]
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
