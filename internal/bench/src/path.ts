/**
 * Requests a second and added latency of the router against a straight call to the same target, both
 * in one run: `npm run bench:path`.
 */
import { Agent, request as httpRequest } from 'node:http'
import { DEMO_ACCOUNTS, DemoFleet, type FleetRouter } from '@stallwing/demo'
import { build } from 'hdr-histogram-js'
import { scrape } from './lib/scrape.js'

const CALLERS = [1, 16, 128]
const ROUND_MS = 4_000
const MICROSECONDS = 1_000
const MEGABYTE = 1_048_576

interface Round {
	readonly perSecond: number
	readonly p50: number
	readonly p99: number
	readonly failed: number
}

const fleet = new DemoFleet({ zones: 1, routersPerZone: 2, enginesPerZone: 1, servicesPerZone: 1 })
await fleet.start()
try {
	const router = fleet.routers[0] as FleetRouter
	const service = fleet.targets.find((target) => target.kind === 'service')?.url ?? ''
	const account = DEMO_ACCOUNTS[0]
	const headers = { authorization: `Bearer ${account?.key ?? ''}` }
	const idle = await resident(router)
	await round(`${router.url}/services/meters/x`, headers, 16, 1_500)
	print(
		'callers  straight/s  routed/s  ratio  straight p50/p99 ms  routed p50/p99 ms  added p50/p99 ms  failed',
	)
	for (const callers of CALLERS) {
		const straight = await round(`${service}/x`, {}, callers, ROUND_MS)
		const routed = await round(`${router.url}/services/meters/x`, headers, callers, ROUND_MS)
		const ratio = routed.perSecond / straight.perSecond
		print(
			[
				String(callers).padEnd(7),
				straight.perSecond.toFixed(0).padStart(10),
				routed.perSecond.toFixed(0).padStart(9),
				ratio.toFixed(3).padStart(6),
				pair(straight.p50, straight.p99).padStart(20),
				pair(routed.p50, routed.p99).padStart(18),
				pair(routed.p50 - straight.p50, routed.p99 - straight.p99).padStart(17),
				String(routed.failed + straight.failed).padStart(7),
			].join('  '),
		)
	}
	print(`resident MB: idle ${idle.toFixed(0)}, after load ${(await resident(router)).toFixed(0)}`)
} finally {
	await fleet.stop()
}

/** Sends plain-service calls from a number of callers for a while. */
async function round(
	url: string,
	headers: Record<string, string>,
	callers: number,
	ms: number,
): Promise<Round> {
	const histogram = build({ numberOfSignificantValueDigits: 3 })
	const agent = new Agent({ keepAlive: true, maxSockets: callers })
	const until = performance.now() + ms
	const startedAt = performance.now()
	let failed = 0
	async function caller(): Promise<void> {
		while (performance.now() < until) {
			const begun = performance.now()
			const status = await call(url, headers, agent)
			if (status !== 200) failed++
			histogram.recordValue(Math.round((performance.now() - begun) * MICROSECONDS))
		}
	}
	await Promise.all(Array.from({ length: callers }, caller))
	agent.destroy()
	const seconds = (performance.now() - startedAt) / 1_000
	return {
		perSecond: histogram.totalCount / seconds,
		p50: histogram.getValueAtPercentile(50) / MICROSECONDS,
		p99: histogram.getValueAtPercentile(99) / MICROSECONDS,
		failed,
	}
}

function call(url: string, headers: Record<string, string>, agent: Agent): Promise<number> {
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

async function resident(router: FleetRouter): Promise<number> {
	return ((await scrape(router)).get('stallwing_resident_bytes') ?? 0) / MEGABYTE
}

function pair(a: number, b: number): string {
	return `${a.toFixed(2)} / ${b.toFixed(2)}`
}

function print(text: string): void {
	process.stdout.write(`${text}\n`)
}
