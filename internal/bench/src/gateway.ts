/**
 * Measures the CPU time of the gateway thread per request, as counted by the kernel: `npm run bench:gateway`. Targets
 * and callers run in a separate thread. With `--cpu-prof`, Node also writes a CPU profile.
 */
import { readFileSync } from 'node:fs'
import { performance } from 'node:perf_hooks'
import { Worker } from 'node:worker_threads'
import { brandId, type BoxName, type Incarnation, type ZoneName } from '@stallwing/core'
import { Gateway } from '@stallwing/gateway'
import { MemoryStore } from '@stallwing/standins'
import { BoundedLog, Metrics } from '@stallwing/telemetry'
import {
	BENCH_CONFIG,
	BENCH_DIALECT,
	BENCH_STORE_LAYOUT,
	targetDocuments,
} from './lib/gatewayBenchConfig.js'
import type { LoadOptions, LoadReport } from './gatewayLoad.js'

/** Number of streaming targets, as in a large deployment. They share a few listening ports. */
const ENGINES = 98
const IDLE_DURATION_MS = 2_000
const WARM_UP: LoadOptions = { requestsPerSecond: 150, durationMs: 3_000 }
const LOADS: readonly LoadOptions[] = [
	{ requestsPerSecond: 65, durationMs: 6_000 },
	{ requestsPerSecond: 260, durationMs: 6_000 },
]
const NANOSECONDS_PER_MS = 1_000_000
const LOG_LINES_PER_SECOND = 400
const LOOPBACK = { host: '127.0.0.1', port: 0 }

const store = new MemoryStore({ now: () => performance.now(), sleep })
const worker = new Worker(new URL('./gatewayLoad.js', import.meta.url))
const ports = await nextMessage<readonly number[]>()
const log = new BoundedLog({
	box: 'box-1',
	zone: 'z1',
	linesPerSecond: LOG_LINES_PER_SECOND,
	write: (_batch, done) => done(),
	now: () => performance.now(),
	schedule: (callback, ms) => void setTimeout(callback, ms),
})
const gateway = new Gateway({
	box: brandId<BoxName>('box-1'),
	zone: brandId<ZoneName>('z1'),
	capacity: { cores: 1, memoryBytes: undefined, linkBytesPerSecond: undefined },
	isUnderPressure: false,
	regionOf: () => undefined,
	incarnation: brandId<Incarnation>('bench'),
	listen: { callers: LOOPBACK, readiness: LOOPBACK, peers: { host: '127.0.0.1', port: 29_471 } },
	store: store.connection('box-1'),
	isFirstStart: true,
	storeReadsPerSecond: 6_000,
	storeLayout: BENCH_STORE_LAYOUT,
	dialect: BENCH_DIALECT,
	retryLimits: { ratio: 0.2, slack: 1_000, windowMs: 10_000 },
	coldLimits: { overrun: 1.5, tolerance: 5 },
	configurationPropagationLimitMs: 3_000,
	contactMs: 4_000,
	shutdownGraceMs: 500,
	metrics: new Metrics(),
	log: (event) => log.log(event),
	now: () => performance.now(),
	wallTime: () => Date.now(),
	uptimeMs: () => performance.now(),
	suspendAwareNow: () => performance.now(),
	random: Math.random,
})
store.put(BENCH_STORE_LAYOUT.configKey, JSON.stringify(BENCH_CONFIG))
for (const [key, document] of targetDocuments(ENGINES, ports)) store.put(key, document)
const { callers } = await gateway.start()
while (!gateway.isReady) await sleep(50)

await runLoad(WARM_UP)
const idle = await measureCpuMs(() => sleep(IDLE_DURATION_MS))
const idleShare = idle.ms / IDLE_DURATION_MS
print(`idle: ${(1_000 * idleShare).toFixed(1)} ms of each second`)
print('requests/s  answered  failed  processor ms a request  p50 ms  p90 ms')
for (const load of LOADS) {
	const { ms, result } = await measureCpuMs(() => runLoad(load))
	const msPerRequest = (ms - idleShare * load.durationMs) / Math.max(1, result.answered)
	print(
		[
			String(load.requestsPerSecond).padStart(10),
			String(result.answered).padStart(8),
			String(result.failed).padStart(6),
			msPerRequest.toFixed(3).padStart(22),
			result.firstByteP50Ms.toFixed(1).padStart(6),
			result.firstByteP90Ms.toFixed(1).padStart(6),
		].join('  '),
	)
}
await worker.terminate()
process.exit(0)

function runLoad(load: LoadOptions): Promise<LoadReport> {
	worker.postMessage({ ...load, port: callers })
	return nextMessage<LoadReport>()
}

/** Measures the CPU time of this thread during a call, in ms. */
async function measureCpuMs<T>(run: () => Promise<T>): Promise<{ ms: number; result: T }> {
	const before = threadCpuMs()
	const result = await run()
	return { ms: threadCpuMs() - before, result }
}

/** Returns the total CPU time of this thread in ms. The first field of `schedstat` is CPU time in ns. */
function threadCpuMs(): number {
	const text = readFileSync(`/proc/self/task/${process.pid}/schedstat`, 'utf8')
	return Number(text.split(' ')[0]) / NANOSECONDS_PER_MS
}

function nextMessage<T>(): Promise<T> {
	return new Promise((resolve) => worker.once('message', resolve))
}

function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, ms))
}

function print(text: string): void {
	process.stdout.write(`${text}\n`)
}
