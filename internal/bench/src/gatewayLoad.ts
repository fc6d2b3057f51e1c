/** Worker thread of `bench:gateway` that runs the targets and the callers. */
import { Agent, createServer, request, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { performance } from 'node:perf_hooks'
import { parentPort } from 'node:worker_threads'
import { build } from 'hdr-histogram-js'
import { BENCH_API_KEY, PLAIN_PATH, STREAM_PATH } from './lib/gatewayBenchConfig.js'

/** Rate and duration of a load. */
export interface LoadOptions {
	readonly requestsPerSecond: number
	readonly durationMs: number
}

/** Results of a load. */
export interface LoadReport {
	readonly answered: number
	readonly failed: number
	/** Median time to the first byte of a response. */
	readonly firstByteP50Ms: number
	readonly firstByteP90Ms: number
}

const TARGET_PORTS = 8
const EVENTS_PER_STREAM = 10
const EVENT_GAP_MS = 20
const PLAIN_RESPONSE_MS = 20
/** Share of requests sent to the plain service. */
const PLAIN_SHARE = 0.3
const SESSIONS = 200
const CALLERS = 60
const STREAM_BODY = Buffer.alloc(4_000, 'x')
const PLAIN_BODY = Buffer.alloc(600, 'x')
const MICROSECONDS_PER_MS = 1_000

const ports = await Promise.all(Array.from({ length: TARGET_PORTS }, listen))
const agents = Array.from({ length: CALLERS }, () => new Agent({ keepAlive: true }))
parentPort?.postMessage(ports)
parentPort?.on('message', (load: LoadOptions & { readonly port: number }) => {
	void runLoad(load).then((report) => parentPort?.postMessage(report))
})

function listen(): Promise<number> {
	const server = createServer({ keepAliveTimeout: 10_000 }, (incoming, response) => {
		incoming.resume()
		incoming.on('end', () => answer(incoming, response))
	})
	return new Promise((resolve) =>
		server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port)),
	)
}

function answer(incoming: IncomingMessage, response: ServerResponse): void {
	response.setHeader('request-id', incoming.headers['request-id'] ?? '')
	response.setHeader('target-mark', 'mark')
	response.setHeader('load', '3,0,24')
	if (incoming.url?.startsWith(PLAIN_PATH)) {
		setTimeout(() => response.end('x'.repeat(800)), PLAIN_RESPONSE_MS)
		return
	}
	response.writeHead(200, { 'Content-Type': 'text/event-stream' })
	let event = 0
	const timer = setInterval(() => {
		event++
		response.write(`id: ${event}\ndata: ${'x'.repeat(55)}\n\n`)
		if (event < EVENTS_PER_STREAM) return
		clearInterval(timer)
		response.end()
	}, EVENT_GAP_MS)
}

async function runLoad(load: LoadOptions & { readonly port: number }): Promise<LoadReport> {
	const histogram = build({ numberOfSignificantValueDigits: 3 })
	const startedAt = performance.now()
	const count = Math.round((load.requestsPerSecond * load.durationMs) / 1_000)
	const results: Promise<number | undefined>[] = []
	for (let i = 0; i < count; i++) {
		const dueAt = startedAt + (i * 1_000) / load.requestsPerSecond
		const waitMs = dueAt - performance.now()
		if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
		results.push(sendRequest(load.port, `${startedAt}-${i}`, i))
	}
	const firstByteMs = await Promise.all(results)
	const answered = firstByteMs.filter((ms) => ms !== undefined)
	for (const ms of answered) histogram.recordValue(Math.round(ms * MICROSECONDS_PER_MS))
	return {
		answered: answered.length,
		failed: firstByteMs.length - answered.length,
		firstByteP50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
		firstByteP90Ms: histogram.getValueAtPercentile(90) / MICROSECONDS_PER_MS,
	}
}

/** Returns the time to the first byte in ms, or undefined without a complete response. */
function sendRequest(port: number, id: string, index: number): Promise<number | undefined> {
	const isPlain = index % 10 < PLAIN_SHARE * 10
	const startedAt = performance.now()
	return new Promise((resolve) => {
		const outgoing = request(
			{
				port,
				agent: agents[index % CALLERS],
				method: 'POST',
				path: `${isPlain ? PLAIN_PATH : STREAM_PATH}x`,
				headers: {
					host: 'a.example',
					authorization: BENCH_API_KEY,
					'request-id': id,
					'deadline-ms': '6000',
					work: `${index % 4},${index % SESSIONS},${id}`,
				},
			},
			(response) => {
				const firstByteMs = performance.now() - startedAt
				response.resume()
				response.on('end', () => resolve(response.statusCode === 200 ? firstByteMs : undefined))
				response.on('error', () => resolve(undefined))
			},
		)
		outgoing.on('error', () => resolve(undefined))
		outgoing.end(isPlain ? PLAIN_BODY : STREAM_BODY)
	})
}
