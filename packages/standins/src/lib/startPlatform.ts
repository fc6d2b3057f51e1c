import type { IncomingMessage, ServerResponse } from 'node:http'
import type { PlatformOp, PlatformResult } from '@stallwing/core'
import { KvStore } from './KvStore.js'
import { listen, readBody, sendJson, sleep, type RunningStandin } from './httpHelpers.js'

/** Faults that a platform stand-in injects. @public */
export interface PlatformFaults {
	/** Delay before each call, in ms. */
	latencyMs: number
	/** Closes the connection of every call without a response. */
	outage: boolean
	/** Number of writes to perform without a response. */
	loseAnswers: number
	/** Writes per second; more are refused with 429. 0 means no limit. */
	writesPerSecond: number
	/** Reads per second; more are refused with 429. 0 means no limit. */
	readsPerSecond: number
}

/** A box in the platform's list of boxes. @public */
export interface ListedBox {
	readonly name: string
	readonly zone: string
	readonly leaving: boolean
}

/** Options of the platform stand-in. @public */
export interface PlatformOptions {
	readonly port: number
	/** Delay until a change of the list of boxes is visible, in ms. */
	readonly listLagMs: number
}

/** Any free port, a list of boxes that lags by two seconds. @public */
export const DEFAULT_PLATFORM_OPTIONS: PlatformOptions = { port: 0, listLagMs: 2_000 }

const NO_FAULTS: PlatformFaults = {
	latencyMs: 0,
	outage: false,
	loseAnswers: 0,
	writesPerSecond: 100,
	readsPerSecond: 2_000,
}
const EXPIRY_INTERVAL_MS = 50
const SECOND_MS = 1_000

/** Starts the platform's key-value store and list of boxes, with an HTTP API. @public */
export async function startPlatform(
	options: Partial<PlatformOptions> = {},
): Promise<RunningStandin> {
	const { port, listLagMs } = { ...DEFAULT_PLATFORM_OPTIONS, ...options }
	const platform = new PlatformServer(listLagMs)
	const { running } = await listen((request, response) => {
		platform.handle(request, response).catch(() => response.destroy())
	}, port)
	const timer = setInterval(() => platform.expire(), EXPIRY_INTERVAL_MS)
	return {
		url: running.url,
		close: () => {
			clearInterval(timer)
			return running.close()
		},
	}
}

class PlatformServer {
	private readonly store = new KvStore()
	private faults: PlatformFaults = { ...NO_FAULTS }
	private currentSecond = 0
	private readonly callsThisSecond = { reads: 0, writes: 0 }
	private refusedCalls = 0
	private boxLists: { publishedAt: number; boxes: ListedBox[] }[] = [{ publishedAt: 0, boxes: [] }]

	constructor(private readonly listLagMs: number) {}

	expire(): void {
		this.store.expire(Date.now())
	}

	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://platform')
		const body = await readBody(request)
		if (url.pathname.startsWith('/standin/')) {
			this.handleControl(url.pathname, request.method ?? 'GET', body, response)
			return
		}
		if (this.faults.latencyMs > 0) await sleep(this.faults.latencyMs)
		if (this.faults.outage) {
			response.destroy()
			return
		}
		if (url.pathname === '/v1/boxes') {
			sendJson(response, 200, { boxes: this.visibleBoxes() })
			return
		}
		const op = parseOp(url, request.method ?? 'GET', body)
		if (!op) sendJson(response, 400, { error: 'unknown call' })
		else if (!this.admitCall(op)) sendJson(response, 429, {}, { 'retry-after': '1' })
		else this.respond(op, response)
	}

	private respond(op: PlatformOp, response: ServerResponse): void {
		this.store.call(op, Date.now(), (result) => {
			const isWrite = op.kind !== 'get' && op.kind !== 'watch'
			if (this.faults.outage || (isWrite && this.faults.loseAnswers > 0)) {
				if (isWrite && this.faults.loseAnswers > 0) this.faults.loseAnswers--
				response.destroy()
				return
			}
			sendResult(response, result)
		})
	}

	/** Counts a call; returns false if it exceeds the rate limit of the current second. */
	private admitCall(op: PlatformOp): boolean {
		const second = Math.floor(Date.now() / SECOND_MS)
		if (second !== this.currentSecond) {
			this.currentSecond = second
			this.callsThisSecond.reads = 0
			this.callsThisSecond.writes = 0
		}
		const kind = op.kind === 'get' || op.kind === 'watch' ? 'reads' : 'writes'
		const limit = kind === 'reads' ? this.faults.readsPerSecond : this.faults.writesPerSecond
		const isAdmitted = limit === 0 || this.callsThisSecond[kind] < limit
		if (isAdmitted) this.callsThisSecond[kind]++
		else this.refusedCalls++
		return isAdmitted
	}

	private handleControl(
		path: string,
		method: string,
		body: string,
		response: ServerResponse,
	): void {
		if (path === '/standin/faults' && method === 'POST') {
			this.faults = { ...this.faults, ...(JSON.parse(body) as Partial<PlatformFaults>) }
			sendJson(response, 200, this.faults)
		} else if (path === '/standin/counts') {
			sendJson(response, 200, { ...this.store.counts, refused: this.refusedCalls })
		} else if (path === '/standin/list') {
			sendJson(response, 200, this.store.list(''))
		} else if (path === '/standin/boxes' && method === 'POST') {
			this.boxLists.push({ publishedAt: Date.now(), boxes: JSON.parse(body) as ListedBox[] })
			sendJson(response, 200, {})
		} else {
			sendJson(response, 404, {})
		}
	}

	private visibleBoxes(): ListedBox[] {
		const visible = this.boxLists.filter(
			(entry) => entry.publishedAt <= Date.now() - this.listLagMs,
		)
		return visible.at(-1)?.boxes ?? []
	}
}

function parseOp(url: URL, method: string, body: string): PlatformOp | undefined {
	const [, , kind, encodedName = '', action] = url.pathname.split('/')
	const name = decodeURIComponent(encodedName)
	if (kind === 'kv' && method === 'GET') return { kind: 'get', key: name }
	if (kind === 'kv' && method === 'POST') {
		const write = JSON.parse(body) as { expected: number; value: unknown; lease?: string }
		return { kind: 'cas', key: name, ...write }
	}
	if (kind === 'watch') {
		const after = Number(url.searchParams.get('after'))
		return { kind: 'watch', key: name, after, timeoutMs: Number(url.searchParams.get('timeoutMs')) }
	}
	if (kind !== 'leases') return undefined
	if (method === 'DELETE') return { kind: 'lease-drop', lease: name }
	if (action === 'renew') return { kind: 'lease-renew', lease: name }
	return { kind: 'lease-create', ttlMs: (JSON.parse(body) as { ttlMs: number }).ttlMs }
}

function sendResult(response: ServerResponse, result: PlatformResult): void {
	switch (result.kind) {
		case 'value':
			sendJson(response, 200, { revision: result.revision, value: result.value })
			return
		case 'absent':
		case 'lease-lost':
			sendJson(response, 404, {})
			return
		case 'written':
			sendJson(response, 200, { revision: result.revision })
			return
		case 'conflict':
			sendJson(response, 409, { revision: result.revision })
			return
		case 'lease':
			sendJson(response, 200, { lease: result.lease })
			return
		default:
			sendJson(response, 429, {}, { 'retry-after': '1' })
	}
}
