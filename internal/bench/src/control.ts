/**
 * Measures the control cost of 8 to 32 router processes in four zones: `npm run bench:control`. Prints
 * bytes, messages, CPU time and memory per box, idle and under light load.
 */
import { DEMO_ACCOUNTS, DemoFleet, sendRequest } from '@stallwing/demo'
import { describeFit } from './lib/fitLine.js'
import { increaseByPrefix, scrapeMetrics, type MetricValues } from './lib/scrapeMetrics.js'

const ROUTER_COUNTS = [8, 16, 32]
const ZONES = 4
const IDLE_DURATION_MS = 10_000
const LOAD_DURATION_MS = 10_000
const REQUESTS_PER_SECOND = 40
const BYTES_PER_MEGABYTE = 1_048_576
const PERCENT = 100

type Point = readonly [number, number]

/** Averages per box; platform calls are the sum over all boxes. */
interface BoxCost {
	readonly bytesPerSecond: number
	readonly messagesPerSecond: number
	readonly cpuPercent: number
	readonly residentMb: number
	readonly heapMb: number
	readonly platformCallsPerSecond: number
}

const idleCosts: [number, BoxCost][] = []
const loadedCosts: [number, BoxCost][] = []
for (const routerCount of ROUTER_COUNTS) {
	const fleet = new DemoFleet({
		zones: ZONES,
		routersPerZone: routerCount / ZONES,
		enginesPerZone: 1,
		servicesPerZone: 1,
	})
	try {
		await fleet.start()
		await sleep(3_000)
		idleCosts.push([routerCount, await measure(fleet, IDLE_DURATION_MS)])
		const load = sendLoad(fleet, LOAD_DURATION_MS)
		loadedCosts.push([routerCount, await measure(fleet, LOAD_DURATION_MS)])
		await load
	} finally {
		await fleet.stop()
	}
}
printCosts('idle, by routers (four zones)', idleCosts)
printCosts(`${REQUESTS_PER_SECOND} plain-service requests per second over all routers`, loadedCosts)

/** Sends plain-service calls at a constant rate to the routers in turn. */
async function sendLoad(fleet: DemoFleet, ms: number): Promise<void> {
	const pending: Promise<unknown>[] = []
	const count = (REQUESTS_PER_SECOND * ms) / 1_000
	for (let i = 0; i < count; i++) {
		const router = fleet.routers[i % fleet.routers.length]
		const account = DEMO_ACCOUNTS[i % DEMO_ACCOUNTS.length]
		if (router && account)
			pending.push(sendRequest(router.url, { path: '/services/meters/x', body: '{}', account }))
		await sleep(ms / count)
	}
	await Promise.all(pending)
}

async function measure(fleet: DemoFleet, ms: number): Promise<BoxCost> {
	const before = await Promise.all(fleet.routers.map(scrapeMetrics))
	const startedAt = performance.now()
	await sleep(ms)
	const after = await Promise.all(fleet.routers.map(scrapeMetrics))
	const seconds = (performance.now() - startedAt) / 1_000
	const boxes = fleet.routers.length
	const ratePerBox = (prefix: string): number => {
		return sumOver(before, after, (a, b) => increaseByPrefix(a, b, prefix)) / boxes / seconds
	}
	const averageOf = (name: string): number => {
		return after.reduce((total, values) => total + (values.get(name) ?? 0), 0) / boxes
	}
	return {
		bytesPerSecond: ratePerBox('stallwing_peer_bytes_'),
		messagesPerSecond: ratePerBox('stallwing_peer_messages_'),
		cpuPercent: (ratePerBox('stallwing_cpu_microseconds_total') / 1_000_000) * PERCENT,
		residentMb: averageOf('stallwing_resident_bytes') / BYTES_PER_MEGABYTE,
		heapMb: averageOf('stallwing_heap_used_bytes') / BYTES_PER_MEGABYTE,
		platformCallsPerSecond: ratePerBox('stallwing_platform_calls_total') * boxes,
	}
}

function sumOver(
	before: readonly MetricValues[],
	after: readonly MetricValues[],
	read: (before: MetricValues, after: MetricValues) => number,
): number {
	return before.reduce((total, values, i) => total + read(values, after[i] ?? values), 0)
}

function printCosts(title: string, rows: readonly (readonly [number, BoxCost])[]): void {
	process.stdout.write(`\n${title}\n`)
	const printFit = (name: string, read: (cost: BoxCost) => number): void => {
		const points = rows.map(([routerCount, cost]): Point => [routerCount, read(cost)])
		process.stdout.write(`  ${name}: ${describeFit(points)}\n`)
	}
	printFit('bytes sent and received, per second and box', (cost) => cost.bytesPerSecond)
	printFit('messages sent and received, per second and box', (cost) => cost.messagesPerSecond)
	printFit('% of a CPU per box, data path included', (cost) => cost.cpuPercent)
	printFit('resident MB per box', (cost) => cost.residentMb)
	printFit('heap MB per box', (cost) => cost.heapMb)
	printFit('platform calls per second, all boxes', (cost) => cost.platformCallsPerSecond)
}

function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, ms))
}
