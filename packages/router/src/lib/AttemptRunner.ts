import type { AttemptOutcome, CoreAction, RequestId } from '@stallwing/core'
import { Agent, request, type Dispatcher } from 'undici'
import type { OutgoingCall } from './OutgoingCall.js'
import type { RunAnswer } from './RunAnswer.js'
import { SseReader } from './SseReader.js'

/** Limits of an attempt. */
export interface AttemptLimits {
	readonly answerBytes: number
	readonly firstByteMs: number
	readonly idleMs: number
}

type StartAction = Extract<CoreAction, { kind: 'start-attempt' }>

const CONNECT_TIMEOUT_MS = 1_000
const CANCEL_TIMEOUT_MS = 2_000
const NOT_SENT = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])
const NOT_TAKEN = new Set([429, 503])
const PASSED_HEADERS = ['content-type', 'location', 'etag', 'cache-control']

interface Live {
	readonly attempt: number
	readonly abort: AbortController
	readonly url: string
	readonly isModel: boolean
	cancelled: boolean
}

/** Sends attempts to targets and reads their answers; says how each ended. */
export class AttemptRunner {
	private readonly live = new Map<RequestId, Live>()
	private readonly agent = new Agent({
		connect: { timeout: CONNECT_TIMEOUT_MS },
		connections: 256,
		pipelining: 1,
	})

	constructor(
		private readonly limits: AttemptLimits,
		private readonly onEnded: (id: RequestId, attempt: number, outcome: AttemptOutcome) => void,
	) {}

	start(action: StartAction, call: OutgoingCall, answer: RunAnswer): void {
		const live: Live = {
			attempt: action.attempt,
			abort: new AbortController(),
			url: action.url,
			isModel: call.chat !== undefined,
			cancelled: false,
		}
		this.live.set(action.runId, live)
		void this.run(action, call, answer, live)
			.catch((error: unknown) => failureOf(error))
			.then((outcome) => this.finish(action, live, answer, outcome))
	}

	/** Cancels an attempt: the target is told, and says what ran. */
	cancel(id: RequestId, attempt: number): void {
		const live = this.live.get(id)
		if (!live || live.attempt !== attempt) return
		live.cancelled = true
		void this.cancelAtTarget(id, live).then((outputTokens) => {
			live.abort.abort()
			this.live.delete(id)
			this.onEnded(id, attempt, { kind: 'cancelled', outputTokens })
		})
	}

	async close(): Promise<void> {
		for (const live of this.live.values()) live.abort.abort()
		await this.agent.destroy()
	}

	private finish(
		action: StartAction,
		live: Live,
		answer: RunAnswer,
		outcome: AttemptOutcome,
	): void {
		if (live.cancelled) return
		if (this.live.get(action.runId) === live) this.live.delete(action.runId)
		const isBroken = outcome.kind === 'broken'
		if (isBroken && live.isModel) void this.cancelAtTarget(action.runId, live)
		const final = isBroken ? { ...outcome, delivered: answer.isDelivered() } : outcome
		if (final.kind !== 'whole' && !answer.isDelivered()) answer.reset()
		this.onEnded(action.runId, action.attempt, final)
	}

	private async run(
		action: StartAction,
		call: OutgoingCall,
		answer: RunAnswer,
		live: Live,
	): Promise<AttemptOutcome> {
		const reply = await this.send(action, call, live)
		if (NOT_TAKEN.has(reply.statusCode) || (action.resume && reply.statusCode >= 400)) {
			await reply.body.dump()
			return rejected(reply)
		}
		const stream = call.chat?.stream === true && reply.statusCode === 200
		return stream
			? this.readStream(reply, answer, action)
			: this.readWhole(reply, answer, action, call)
	}

	private send(
		action: StartAction,
		call: OutgoingCall,
		live: Live,
	): Promise<Dispatcher.ResponseData> {
		const path = action.resume ? resumePath(action.runId, call) : call.path
		const method = action.resume ? 'GET' : call.method
		const hasBody = method !== 'GET' && method !== 'HEAD'
		const body = call.chat
			? Buffer.from(JSON.stringify({ ...call.chat.json, max_tokens: action.maxOutputTokens }))
			: call.body
		return request(`${action.url}${path}`, {
			method: method as Dispatcher.HttpMethod,
			dispatcher: this.agent,
			signal: live.abort.signal,
			headersTimeout: this.limits.firstByteMs + this.limits.idleMs,
			bodyTimeout: this.limits.idleMs,
			headers: {
				'content-type': call.contentType,
				'x-request-id': action.runId,
				'x-priority': action.priority,
			},
			...(hasBody ? { body } : {}),
		})
	}

	/** Passes a stream on as it comes; its last events are held. */
	private async readStream(
		reply: Dispatcher.ResponseData,
		answer: RunAnswer,
		action: StartAction,
	): Promise<AttemptOutcome> {
		const reader = new SseReader()
		let bytes = 0
		let begun = false
		for await (const chunk of reply.body) {
			bytes += (chunk as Buffer).length
			if (bytes > this.limits.answerBytes) return broken('the answer is too long', reader.events)
			const { ready, last } = reader.push(chunk as Buffer)
			if (!begun && ready.length + last.length > 0) {
				begun = true
				answer.head({ status: 200, headers: this.headers(reply, action) })
			}
			for (const event of ready) answer.data(event)
			answer.hold(last)
		}
		if (!reader.done || !reader.usage) return broken('the stream broke off', reader.events)
		const { input, output } = reader.usage
		return { kind: 'whole', inputTokens: input, outputTokens: output }
	}

	private async readWhole(
		reply: Dispatcher.ResponseData,
		answer: RunAnswer,
		action: StartAction,
		call: OutgoingCall,
	): Promise<AttemptOutcome> {
		const chunks: Buffer[] = []
		let bytes = 0
		for await (const chunk of reply.body) {
			bytes += (chunk as Buffer).length
			if (bytes > this.limits.answerBytes) return broken('the answer is too long', 0)
			chunks.push(chunk as Buffer)
		}
		const usage =
			call.chat && reply.statusCode === 200 ? readUsage(chunks) : { input: 0, output: 0 }
		if (!usage) return broken('the answer makes no sense', 0)
		answer.hold(chunks, { status: reply.statusCode, headers: this.headers(reply, action) })
		return { kind: 'whole', inputTokens: usage.input, outputTokens: usage.output }
	}

	private headers(reply: Dispatcher.ResponseData, action: StartAction): Record<string, string> {
		const headers: Record<string, string> = {
			'stallwing-run': 'yes',
			'stallwing-request-id': action.runId,
			'idempotency-key': action.runId.slice(action.runId.indexOf('/') + 1),
		}
		for (const name of PASSED_HEADERS) {
			const value = reply.headers[name]
			if (typeof value === 'string') headers[name] = value
		}
		return headers
	}

	private async cancelAtTarget(id: RequestId, live: Live): Promise<number> {
		if (!live.isModel) return 0
		try {
			const reply = await request(`${live.url}/v1/runs/${encodeURIComponent(id)}/cancel`, {
				method: 'POST',
				dispatcher: this.agent,
				signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
			})
			const body = (await reply.body.json()) as { usage?: { completion_tokens?: number } }
			return body.usage?.completion_tokens ?? 0
		} catch {
			return 0
		}
	}
}

function resumePath(id: RequestId, call: OutgoingCall): string {
	const action = call.chat?.stream ? 'stream' : 'resume'
	return `/v1/runs/${encodeURIComponent(id)}/${action}`
}

function readUsage(chunks: readonly Buffer[]): { input: number; output: number } | undefined {
	try {
		const body = JSON.parse(Buffer.concat(chunks).toString('utf8')) as {
			usage?: { prompt_tokens?: number; completion_tokens?: number }
		}
		if (!body.usage) return undefined
		return {
			input: body.usage.prompt_tokens ?? 0,
			output: body.usage.completion_tokens ?? 0,
		}
	} catch {
		return undefined
	}
}

function rejected(reply: Dispatcher.ResponseData): AttemptOutcome {
	const seconds = Number(reply.headers['retry-after'])
	const status = reply.statusCode
	return Number.isFinite(seconds) && seconds > 0
		? { kind: 'rejected', status, retryAfterMs: seconds * 1000 }
		: { kind: 'rejected', status }
}

function broken(reason: string, outputTokens: number): AttemptOutcome {
	return { kind: 'broken', reason, outputTokens, delivered: false }
}

function failureOf(error: unknown): AttemptOutcome {
	const code = (error as { code?: string }).code ?? 'unknown'
	if (NOT_SENT.has(code)) return { kind: 'not-sent', reason: code }
	return broken(`connection to the target: ${code}`, 0)
}
