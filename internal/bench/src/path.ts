/**
 * Compares throughput and latency of calls through a router with direct calls to the same target:
 * `npm run bench:path`.
 */
import { Agent, request as httpRequest } from 'node:http'
import { DEMO_ACCOUNTS, DemoFleet, type FleetRouter } from '@stallwing/demo'
import { build } from 'hdr-histogram-js'
import { scrapeMetrics } from './lib/scrapeMetrics.js'

const CALLER_COUNTS = [1, 16, 128]
const ROUND_DURATION_MS = 4_000
const MICROSECONDS_PER_MS = 1_000
const BYTES_PER_MEGABYTE = 1_048_576

interface RoundResult {
	readonly requestsPerSecond: number
	readonly p50Ms: number
	readonly p99Ms: number
	readonly failed: number
}

const fleet = new DemoFleet({ zones: 1, routersPerZone: 2, enginesPerZone: 1, servicesPerZone: 1 })
await fleet.start()
try {
	const router = fleet.routers[0] as FleetRouter
	const service = fleet.targets.find((target) => target.kind === 'service')?.url ?? ''
	const account = DEMO_ACCOUNTS[0]
	const headers = { authorization: `Bearer ${account?.key ?? ''}` }
	const idle = await residentMegabytes(router)
	await runRound(`${router.url}/services/meters/x`, headers, 16, 1_500)
	print(
		'callers    direct/s  routed/s  ratio    direct p50/p99 ms  routed p50/p99 ms  added p50/p99 ms  failed',
	)
	for (const callers of CALLER_COUNTS) {
		const direct = await runRound(`${service}/x`, {}, callers, ROUND_DURATION_MS)
		const routed = await runRound(
			`${router.url}/services/meters/x`,
			headers,
			callers,
			ROUND_DURATION_MS,
		)
		const ratio = routed.requestsPerSecond / direct.requestsPerSecond
		print(
			[
				String(callers).padEnd(7),
				direct.requestsPerSecond.toFixed(0).padStart(10),
				routed.requestsPerSecond.toFixed(0).padStart(9),
				ratio.toFixed(3).padStart(6),
				formatPair(direct.p50Ms, direct.p99Ms).padStart(20),
				formatPair(routed.p50Ms, routed.p99Ms).padStart(18),
				formatPair(routed.p50Ms - direct.p50Ms, routed.p99Ms - direct.p99Ms).padStart(17),
				String(routed.failed + direct.failed).padStart(7),
			].join('  '),
		)
	}
	print(
		`resident MB: idle ${idle.toFixed(0)}, after load ${(await residentMegabytes(router)).toFixed(0)}`,
	)
} finally {
	await fleet.stop()
}

/** Sends plain-service calls from a number of concurrent callers for a duration. */
async function runRound(
	url: string,
	headers: Record<string, string>,
	callers: number,
	durationMs: number,
): Promise<RoundResult> {
	const histogram = build({ numberOfSignificantValueDigits: 3 })
	const agent = new Agent({ keepAlive: true, maxSockets: callers })
	const deadline = performance.now() + durationMs
	const startedAt = performance.now()
	let failed = 0
	async function caller(): Promise<void> {
		while (performance.now() < deadline) {
			const sentAt = performance.now()
			const status = await sendCall(url, headers, agent)
			if (status !== 200) failed++
			histogram.recordValue(Math.round((performance.now() - sentAt) * MICROSECONDS_PER_MS))
		}
	}
	await Promise.all(Array.from({ length: callers }, caller))
	agent.destroy()
	const seconds = (performance.now() - startedAt) / 1_000
	return {
		requestsPerSecond: histogram.totalCount / seconds,
		p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
		p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
		failed,
	}
}

function sendCall(url: string, headers: Record<string, string>, agent: Agent): Promise<number> {
	return new Promise((resolve) => {
		const outgoing = httpRequest(url, { method: 'POST', agent, headers }, (response) => {
			response.resume()
			response.on('end', () => resolve(response.statusCode ?? 0))
			response.on('error', () => resolve(0))
		})
		outgoing.on('error', () => resolve(0))
		outgoing.end('{"meter":4}')
	})
}

async function residentMegabytes(router: FleetRouter): Promise<number> {
	return ((await scrapeMetrics(router)).get('stallwing_resident_bytes') ?? 0) / BYTES_PER_MEGABYTE
}

function formatPair(a: number, b: number): string {
	return `${a.toFixed(2)} / ${b.toFixed(2)}`
}

function print(text: string): void {
	process.stdout.write(`${text}\n`)
}
