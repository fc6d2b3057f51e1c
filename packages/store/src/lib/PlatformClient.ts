import { exhaustive, type Millis, type PlatformOp, type PlatformResult } from '@stallwing/core'
import { Agent, request } from 'undici'

/** Options of a {@link PlatformClient}. @public */
export interface PlatformClientOptions {
	/** URL of the platform without a path. */
	readonly url: string
	/** Timeout of all calls except watches, in ms. */
	readonly timeoutMs: Millis
}

/** Timeout for clients without one of their own. @public */
export const DEFAULT_PLATFORM_TIMEOUT_MS: Millis = 1_000
const WATCH_GRACE_MS: Millis = 1_000
const DEFAULT_RETRY_AFTER_MS: Millis = 1_000

interface PlatformResponse {
	readonly status: number
	readonly retryAfter: string | undefined
	readonly body: Record<string, unknown>
}

/**
 * Client of the platform's key-value service. A failed call does not throw: it results in `no-answer`, since the platform
 * may have executed it.
 * @public
 */
export class PlatformClient {
	private readonly agent = new Agent({ connections: 16, pipelining: 1 })

	constructor(private readonly options: PlatformClientOptions) {}

	/** Executes one operation. */
	async call(op: PlatformOp): Promise<PlatformResult> {
		try {
			return await this.execute(op)
		} catch {
			return { kind: 'no-answer' }
		}
	}

	/** Reads a value; undefined if absent. @throws {@link PlatformUnavailableError} if the read fails. */
	async read(key: string): Promise<{ value: unknown; revision: number } | undefined> {
		const result = await this.call({ kind: 'get', key })
		if (result.kind === 'value') return { value: result.value, revision: result.revision }
		if (result.kind === 'absent') return undefined
		throw new PlatformUnavailableError(key)
	}

	/** Names of boxes that the platform lists as leaving; undefined if the call fails. The list may lag behind. */
	async leavingBoxNames(): Promise<string[] | undefined> {
		try {
			const { status, body } = await this.send('GET', '/v1/boxes')
			if (status !== 200) return undefined
			const rows = body.boxes as readonly { name: string; leaving: boolean }[]
			return rows.filter((row) => row.leaving).map((row) => row.name)
		} catch {
			return undefined
		}
	}

	async close(): Promise<void> {
		await this.agent.destroy()
	}

	private async execute(op: PlatformOp): Promise<PlatformResult> {
		switch (op.kind) {
			case 'get':
				return valueResult(await this.send('GET', kvPath(op.key)))
			case 'cas':
				return writeResult(
					await this.send('POST', kvPath(op.key), {
						expected: op.expected,
						value: op.value,
						lease: op.lease,
					}),
				)
			case 'lease-create':
				return leaseResult(await this.send('POST', '/v1/leases', { ttlMs: op.ttlMs }))
			case 'lease-renew':
				return leaseResult(await this.send('POST', `/v1/leases/${op.lease}/renew`, {}))
			case 'lease-drop':
				return leaseResult(await this.send('DELETE', `/v1/leases/${op.lease}`))
			case 'watch':
				return valueResult(await this.watch(op.key, op.after, op.timeoutMs))
			default:
				return exhaustive(op)
		}
	}

	private watch(key: string, after: number, timeoutMs: Millis): Promise<PlatformResponse> {
		const path = `/v1/watch/${encodeURIComponent(key)}?after=${after}&timeoutMs=${timeoutMs}`
		return this.send('GET', path, undefined, timeoutMs + WATCH_GRACE_MS)
	}

	private async send(
		method: 'GET' | 'POST' | 'DELETE',
		path: string,
		body?: unknown,
		timeoutMs = this.options.timeoutMs,
	): Promise<PlatformResponse> {
		const response = await request(`${this.options.url}${path}`, {
			method,
			dispatcher: this.agent,
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
			signal: AbortSignal.timeout(timeoutMs),
			...(body === undefined
				? {}
				: { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
		})
		const retryAfter = response.headers['retry-after']
		return {
			status: response.statusCode,
			retryAfter: typeof retryAfter === 'string' ? retryAfter : undefined,
			body: (await response.body.json()) as Record<string, unknown>,
		}
	}
}

/** Thrown if a required read of the platform fails. @public */
export class PlatformUnavailableError extends Error {
	readonly kind = 'platform-unavailable'
	constructor(readonly key: string) {
		super(`the platform did not answer for ${key}`)
	}
}

function kvPath(key: string): string {
	return `/v1/kv/${encodeURIComponent(key)}`
}

function refusedResult(response: PlatformResponse): PlatformResult {
	const seconds = Number(response.retryAfter)
	const retryAfterMs = Number.isFinite(seconds) ? seconds * 1000 : DEFAULT_RETRY_AFTER_MS
	return { kind: 'refused', retryAfterMs }
}

function valueResult(response: PlatformResponse): PlatformResult {
	if (response.status === 404) return { kind: 'absent' }
	if (response.status === 429) return refusedResult(response)
	if (response.status !== 200) return { kind: 'no-answer' }
	return { kind: 'value', revision: Number(response.body.revision), value: response.body.value }
}

function writeResult(response: PlatformResponse): PlatformResult {
	const revision = Number(response.body.revision ?? 0)
	if (response.status === 200) return { kind: 'written', revision }
	if (response.status === 409) return { kind: 'conflict', revision }
	if (response.status === 429) return refusedResult(response)
	return { kind: 'no-answer' }
}

function leaseResult(response: PlatformResponse): PlatformResult {
	if (response.status === 200) return { kind: 'lease', lease: String(response.body.lease) }
	if (response.status === 404) return { kind: 'lease-lost' }
	if (response.status === 429) return refusedResult(response)
	return { kind: 'no-answer' }
}
