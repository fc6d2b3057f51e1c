import { fork, type ChildProcess } from 'node:child_process'
import { Agent, createServer, request, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { sleep } from '../sleep.js'
import type { StepCosts } from './slowBoxProcess.js'

/** What became of a request, by the clock of its caller; times in ms from when it connected or sent. */
export interface CallerRecord {
	readonly path: string
	readonly sentAt: number
	answeredMs: number | undefined
	status: number
	/** Time after which the caller should try again, in ms; undefined if the answer does not say. */
	retryAfterMs: number | undefined
	/** Times at which targets began to run the request. */
	readonly begunMs: number[]
}

/** Load of callers on a box. */
export interface CallerLoad {
	readonly path: string
	readonly requestsPerSecond: number
	readonly forMs: number
	/** Callers keep their connections and send the next request on them. */
	readonly keepsConnections?: boolean
}

const PROCESS = new URL('../../../dist/lib/overload/slowBoxProcess.js', import.meta.url).pathname
const TARGET_COUNT = 4
const TARGET_WORK_MS = 20
/** Time after which a caller gives up, in ms. */
const CALLER_PATIENCE_MS = 8_000
const TICK_MS = 10

/** For tests: a slow box as a process of its own, with targets and callers in this process. */
export class SlowBox {
	readonly records: CallerRecord[] = []
	private readonly byId = new Map<string, CallerRecord>()
	private readonly agent = new Agent({ keepAlive: true })
	private targets: readonly Server[] = []
	private child: ChildProcess | undefined
	private port = 0

	async start(costs: StepCosts, timeoutMs: number): Promise<void> {
		this.targets = await Promise.all(Array.from({ length: TARGET_COUNT }, () => this.startTarget()))
		const addresses = this.targets.map(
			(server) => `127.0.0.1:${(server.address() as AddressInfo).port}`,
		)
		const child = fork(PROCESS, [JSON.stringify(costs), String(timeoutMs), ...addresses], {
			stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
			execArgv: [],
		})
		this.child = child
		this.port = await new Promise<number>((resolve) => {
			child.stdout?.once('data', (chunk: Buffer) => {
				resolve((JSON.parse(chunk.toString()) as { port: number }).port)
			})
		})
	}

	stop(): void {
		this.child?.kill('SIGKILL')
		this.agent.destroy()
		for (const server of this.targets) {
			server.closeAllConnections()
			server.close()
		}
	}

	/** Sends requests at a steady rate, and waits for what becomes of them. */
	async call({ path, requestsPerSecond, forMs, keepsConnections }: CallerLoad): Promise<void> {
		const startedAt = performance.now()
		const calls: Promise<CallerRecord>[] = []
		while (performance.now() - startedAt < forMs) {
			const due = ((performance.now() - startedAt) * requestsPerSecond) / 1_000
			while (calls.length < due) calls.push(this.send(path, keepsConnections === true))
			await sleep(TICK_MS)
		}
		await Promise.all(calls)
	}

	/** Sends a request and waits for what becomes of it. */
	send(path: string, keepsConnection = false): Promise<CallerRecord> {
		const id = `r-${this.records.length}`
		const record: CallerRecord = {
			path,
			sentAt: performance.now(),
			answeredMs: undefined,
			status: 0,
			retryAfterMs: undefined,
			begunMs: [],
		}
		this.records.push(record)
		this.byId.set(id, record)
		return new Promise((resolve) => {
			const outgoing = request({
				host: '127.0.0.1',
				port: this.port,
				path,
				method: 'POST',
				headers: { host: 'a.example', 'request-id': id, authorization: 'key' },
				agent: keepsConnection ? this.agent : false,
			})
			const timer = setTimeout(() => outgoing.destroy(), CALLER_PATIENCE_MS)
			const finish = (status: number): void => {
				clearTimeout(timer)
				record.answeredMs ??= performance.now() - record.sentAt
				record.status ||= status
				resolve(record)
			}
			outgoing.on('error', () => finish(0))
			outgoing.on('response', (response) => {
				response.resume()
				const retryAfter = response.headers['retry-after']
				if (retryAfter !== undefined) record.retryAfterMs = Number(retryAfter) * 1_000
				response.on('error', () => finish(0))
				response.on('end', () => finish(response.statusCode ?? 0))
			})
			outgoing.end()
		})
	}

	private async startTarget(): Promise<Server> {
		const server = createServer((message, response) => {
			const id = String(message.headers['request-id'])
			const record = this.byId.get(id)
			record?.begunMs.push(performance.now() - record.sentAt)
			message.resume()
			setTimeout(() => {
				response.writeHead(200, { 'request-id': id, 'target-mark': 't', 'Content-Length': 2 })
				response.end('ok')
			}, TARGET_WORK_MS)
		})
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
		return server
	}
}
