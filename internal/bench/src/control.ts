/**
 * Control cost of real router processes, 8 to 32 of them in four zones: `npm run bench:control`.
 * Prints bytes, messages, processor time and memory of a box, idle and under a light load.
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

interface BoxCost {
	/** Averages over boxes, per second. */
	readonly bytesPerSecond: number
	readonly messagesPerSecond: number
	readonly cpuPercent: number
	readonly residentMb: number
	readonly heapMb: number
	readonly platformCallsPerSecond: number
}

const idleCosts: [number, BoxCost][] = []
const loadedCosts: [number, BoxCost][] = []
for (const size of ROUTER_COUNTS) {
	const fleet = new DemoFleet({
		zones: ZONES,
		routersPerZone: size / ZONES,
		enginesPerZone: 1,
		servicesPerZone: 1,
	})
	try {
		await fleet.start()
		await sleep(3_000)
		idleCosts.push([size, await measure(fleet, IDLE_DURATION_MS)])
		const load = sendLoad(fleet, LOAD_DURATION_MS)
		loadedCosts.push([size, await measure(fleet, LOAD_DURATION_MS)])
		await load
	} finally {
		await fleet.stop()
	}
}
report('idle, by routers (four zones)', idleCosts)
report(`${REQUESTS_PER_SECOND} plain-service requests a second over all routers`, loadedCosts)

/** Sends plain-service calls at an even rate to the routers in turn. */
async function sendLoad(fleet: DemoFleet, ms: number): Promise<void> {
	const open: Promise<unknown>[] = []
	const count = (REQUESTS_PER_SECOND * ms) / 1_000
	for (let i = 0; i < count; i++) {
		const router = fleet.routers[i % fleet.routers.length]
		const account = DEMO_ACCOUNTS[i % DEMO_ACCOUNTS.length]
		if (router && account)
			open.push(sendRequest(router.url, { path: '/services/meters/x', body: '{}', account }))
		await sleep(ms / count)
	}
	await Promise.all(open)
}

async function measure(fleet: DemoFleet, ms: number): Promise<BoxCost> {
	const before = await Promise.all(fleet.routers.map(scrapeMetrics))
	const startedAt = performance.now()
	await sleep(ms)
	const after = await Promise.all(fleet.routers.map(scrapeMetrics))
	const seconds = (performance.now() - startedAt) / 1_000
	const boxes = fleet.routers.length
	const rate = (prefix: string): number => {
		return sumOverRouters(before, after, (a, b) => increaseByPrefix(a, b, prefix)) / boxes / seconds
	}
	const level = (name: string): number => {
		return after.reduce((total, values) => total + (values.get(name) ?? 0), 0) / boxes
	}
	return {
		bytesPerSecond: rate('stallwing_peer_bytes_'),
		messagesPerSecond: rate('stallwing_peer_messages_'),
		cpuPercent: (rate('stallwing_cpu_microseconds_total') / 1_000_000) * PERCENT,
		residentMb: level('stallwing_resident_bytes') / BYTES_PER_MEGABYTE,
		heapMb: level('stallwing_heap_used_bytes') / BYTES_PER_MEGABYTE,
		platformCallsPerSecond: rate('stallwing_platform_calls_total') * boxes,
	}
}

function sumOverRouters(
	before: readonly MetricValues[],
	after: readonly MetricValues[],
	read: (a: MetricValues, b: MetricValues) => number,
): number {
	return before.reduce((total, values, i) => total + read(values, after[i] ?? values), 0)
}

function report(title: string, rows: readonly (readonly [number, BoxCost])[]): void {
	process.stdout.write(`\n${title}\n`)
	const line = (name: string, read: (figures: BoxCost) => number): void => {
		const points = rows.map(([size, figures]): Point => [size, read(figures)])
		process.stdout.write(`  ${name}: ${describeFit(points)}\n`)
	}
	line('bytes sent and received, a second and box', (f) => f.bytesPerSecond)
	line('messages sent and received, a second and box', (f) => f.messagesPerSecond)
	line('% of a core, a box, data path included', (f) => f.cpuPercent)
	line('resident MB of a box', (f) => f.residentMb)
	line('heap MB of a box', (f) => f.heapMb)
	line('platform calls a second, all boxes', (f) => f.platformCallsPerSecond)
}

function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, ms))
}
