/**
 * Control cost of real router processes, 8 to 32 of them in four zones: `npm run bench:control`.
 * Prints bytes, messages, processor time and memory of a box, idle and under a light load.
 */
import { DEMO_ACCOUNTS, DemoFleet, send } from '@stallwing/demo'
import { describeFit } from './lib/fitLine.js'
import { growth, scrape, type Scrape } from './lib/scrape.js'

const SIZES = [8, 16, 32]
const ZONES = 4
const IDLE_MS = 10_000
const LOAD_MS = 10_000
const REQUESTS_PER_SECOND = 40
const MEGABYTE = 1_048_576
const PERCENT = 100

type Point = readonly [number, number]

interface BoxFigures {
	/** Averages over boxes, per second. */
	readonly bytes: number
	readonly messages: number
	readonly corePercent: number
	readonly residentMb: number
	readonly heapMb: number
	readonly platformCalls: number
}

const idle: [number, BoxFigures][] = []
const loaded: [number, BoxFigures][] = []
for (const size of SIZES) {
	const fleet = new DemoFleet({
		zones: ZONES,
		routersPerZone: size / ZONES,
		enginesPerZone: 1,
		servicesPerZone: 1,
	})
	try {
		await fleet.start()
		await sleep(3_000)
		idle.push([size, await measure(fleet, IDLE_MS)])
		const load = offer(fleet, LOAD_MS)
		loaded.push([size, await measure(fleet, LOAD_MS)])
		await load
	} finally {
		await fleet.stop()
	}
}
report('idle, by routers (four zones)', idle)
report(`${REQUESTS_PER_SECOND} plain-service requests a second over all routers`, loaded)

/** Sends plain-service calls at an even rate to the routers in turn. */
async function offer(fleet: DemoFleet, ms: number): Promise<void> {
	const open: Promise<unknown>[] = []
	const count = (REQUESTS_PER_SECOND * ms) / 1_000
	for (let i = 0; i < count; i++) {
		const router = fleet.routers[i % fleet.routers.length]
		const account = DEMO_ACCOUNTS[i % DEMO_ACCOUNTS.length]
		if (router && account)
			open.push(send(router.url, { path: '/services/meters/x', body: '{}', account }))
		await sleep(ms / count)
	}
	await Promise.all(open)
}

async function measure(fleet: DemoFleet, ms: number): Promise<BoxFigures> {
	const before = await Promise.all(fleet.routers.map(scrape))
	const startedAt = performance.now()
	await sleep(ms)
	const after = await Promise.all(fleet.routers.map(scrape))
	const seconds = (performance.now() - startedAt) / 1_000
	const boxes = fleet.routers.length
	const rate = (prefix: string): number => {
		return sum(before, after, (a, b) => growth(a, b, prefix)) / boxes / seconds
	}
	const level = (name: string): number => {
		return after.reduce((total, values) => total + (values.get(name) ?? 0), 0) / boxes
	}
	return {
		bytes: rate('stallwing_peer_bytes_'),
		messages: rate('stallwing_peer_messages_'),
		corePercent: (rate('stallwing_cpu_microseconds_total') / 1_000_000) * PERCENT,
		residentMb: level('stallwing_resident_bytes') / MEGABYTE,
		heapMb: level('stallwing_heap_used_bytes') / MEGABYTE,
		platformCalls: rate('stallwing_platform_calls_total') * boxes,
	}
}

function sum(
	before: readonly Scrape[],
	after: readonly Scrape[],
	read: (a: Scrape, b: Scrape) => number,
): number {
	return before.reduce((total, values, i) => total + read(values, after[i] ?? values), 0)
}

function report(title: string, rows: readonly (readonly [number, BoxFigures])[]): void {
	process.stdout.write(`\n${title}\n`)
	const line = (name: string, read: (figures: BoxFigures) => number): void => {
		const points = rows.map(([size, figures]): Point => [size, read(figures)])
		process.stdout.write(`  ${name}: ${describeFit(points)}\n`)
	}
	line('bytes sent and received, a second and box', (f) => f.bytes)
	line('messages sent and received, a second and box', (f) => f.messages)
	line('% of a core, a box, data path included', (f) => f.corePercent)
	line('resident MB of a box', (f) => f.residentMb)
	line('heap MB of a box', (f) => f.heapMb)
	line('platform calls a second, all boxes', (f) => f.platformCalls)
}

function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, ms))
}
