/**
 * Time from the acceptance of a version until it is in force on every box, with eight real routers
 * in four zones: `npm run bench:config`.
 */
import { DemoFleet, type FleetRouter } from '@stallwing/demo'
import { build } from 'hdr-histogram-js'

const VERSIONS = 10
const POLL_PERIOD_MS = 5

const fleet = new DemoFleet({ zones: 4, routersPerZone: 2, enginesPerZone: 1, servicesPerZone: 1 })
await fleet.start()
try {
	const histogram = build({ numberOfSignificantValueDigits: 3 })
	for (let version = 2; version < VERSIONS + 2; version++) {
		const hash = await fleet.approveBundleVersion(version)
		const accepted = fleet.runAs('author', 'bundle', 'accept', hash)
		// The command takes a while to start; the clock runs from the first router that has the version.
		const times = await Promise.all(fleet.routers.map((router) => waitForVersion(router, version)))
		await accepted
		const first = Math.min(...times)
		for (const time of times) histogram.recordValue(Math.round(time - first))
	}
	const at = (percentile: number): number => histogram.getValueAtPercentile(percentile)
	process.stdout.write(
		`${VERSIONS} versions, ${fleet.routers.length} routers, ms after the first router: p50 ${at(50)}, p99 ${at(99)}, most ${histogram.maxValue}\n`,
	)
} finally {
	await fleet.stop()
}

async function waitForVersion(router: FleetRouter, version: number): Promise<number> {
	for (;;) {
		const status = (await (await fetch(`${router.adminUrl}/status`)).json()) as {
			bundleVersion: number
		}
		if (status.bundleVersion >= version) return performance.now()
		await new Promise((resolve) => setTimeout(resolve, POLL_PERIOD_MS))
	}
}
