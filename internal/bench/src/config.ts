/**
 * Measures how long an accepted bundle version takes to become active on all of eight router processes
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
		const acceptCommand = fleet.runAs('author', 'bundle', 'accept', hash)
		// Measures from the first router with the version, because starting the command takes a while.
		const activationTimes = await Promise.all(
			fleet.routers.map((router) => waitForVersion(router, version)),
		)
		await acceptCommand
		const firstActivation = Math.min(...activationTimes)
		for (const time of activationTimes) histogram.recordValue(Math.round(time - firstActivation))
	}
	const valueAt = (percentile: number): number => histogram.getValueAtPercentile(percentile)
	process.stdout.write(
		`${VERSIONS} versions, ${fleet.routers.length} routers, ms after the first router: p50 ${valueAt(50)}, p99 ${valueAt(99)}, max ${histogram.maxValue}\n`,
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
