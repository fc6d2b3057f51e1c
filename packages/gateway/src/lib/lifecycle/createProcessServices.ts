import type { BoxName, ZoneName } from '@stallwing/core'
import { BoundedLog, Metrics, StoreCallCounter, writeInChunks } from '@stallwing/telemetry'
import { describeError } from '../describeError.js'
import type { GatewayOptions } from '../GatewayOptions.js'
import { SuspendAwareClock, systemClocks } from '../SuspendAwareClock.js'

/** The clocks of a gateway. @public */
export type GatewayClocks = Pick<
	GatewayOptions,
	'now' | 'suspendAwareNow' | 'wallTime' | 'uptimeMs'
>

/** Log, metrics and clocks of a box process. @public */
export interface ProcessServices {
	readonly metrics: Metrics
	readonly log: BoundedLog
	readonly clocks: GatewayClocks
	readonly storeCalls: StoreCallCounter
	/** Logs the number of store calls since the last such event. */
	readonly reportStoreCalls: () => void
}

const LOG_LINES_PER_SECOND = 400
const STDOUT_DESCRIPTOR = 1
/** Interval between log events with the numbers of store calls, in ms. */
const STORE_CALLS_LOG_INTERVAL_MS = 3_000

/** Creates the services of a box process, which logs to standard output and survives unexpected errors. @public */
export function createProcessServices(box: BoxName, zone: ZoneName): ProcessServices {
	const metrics = new Metrics()
	const log = new BoundedLog({
		box,
		zone,
		linesPerSecond: LOG_LINES_PER_SECOND,
		write: (batch, done) => writeInChunks(STDOUT_DESCRIPTOR, batch, done),
		now: () => performance.now(),
		schedule: (callback, ms) => void setTimeout(callback, ms),
	})
	const logUnexpectedError = (error: unknown): void => {
		log.log({ name: 'unexpected-error', fields: { error: describeError(error) } })
	}
	process.on('uncaughtException', logUnexpectedError)
	process.on('unhandledRejection', logUnexpectedError)
	const clock = new SuspendAwareClock(systemClocks, (ms) => {
		metrics.count('stallwing_machine_suspended_total')
		log.log({ name: 'machine-suspended', fields: { ms } })
	})
	const storeCalls = new StoreCallCounter(metrics)
	const reportStoreCalls = (): void => {
		const report = storeCalls.takeReport()
		if (report) log.log(report)
	}
	setInterval(reportStoreCalls, STORE_CALLS_LOG_INTERVAL_MS)
	const clocks: GatewayClocks = {
		now: () => clock.monotonicNow(),
		suspendAwareNow: () => clock.suspendAwareNow(),
		wallTime: () => Date.now(),
		uptimeMs: () => clock.monotonicNow(),
	}
	return { metrics, log, clocks, storeCalls, reportStoreCalls }
}
