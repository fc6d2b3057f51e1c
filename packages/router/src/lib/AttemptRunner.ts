import type { AttemptOutcome, CoreAction, RequestId } from '@stallwing/core'
import { findHeadFault } from '@stallwing/http'
import { Agent, request, type Dispatcher } from 'undici'
import type { OutgoingCall } from './OutgoingCall.js'
import type { RunResponse } from './RunResponse.js'
import { SseReader } from './SseReader.js'

/** Size and time limits of one attempt at a target. */
export interface AttemptLimits {
	readonly answerBytes: number
	readonly firstByteMs: number
	readonly idleMs: number
}

type StartAction = Extract<CoreAction, { kind: 'start-attempt' }>

const CONNECT_TIMEOUT_MS = 1_000
const CANCEL_TIMEOUT_MS = 2_000
const NOT_SENT_ERROR_CODES = new Set([
	'ECONNREFUSED',
	'UND_ERR_CONNECT_TIMEOUT',
	'EHOSTUNREACH',
	'ENETUNREACH',
])
const REJECTION_STATUSES = new Set([429, 503])
const FORWARDED_HEADERS = ['content-type', 'location', 'etag', 'cache-control']

interface ActiveAttempt {
	readonly attempt: number
	readonly abortController: AbortController
	readonly url: string
	readonly isModelRequest: boolean
	isCancelled: boolean
}

/** Sends requests to targets, reads the responses and reports the outcome of each attempt. */
export class AttemptRunner {
	private readonly activeAttempts = new Map<RequestId, ActiveAttempt>()
	private readonly agent = new Agent({
		connect: { timeout: CONNECT_TIMEOUT_MS },
		connections: 256,
		pipelining: 1,
	})

	constructor(
		private readonly limits: AttemptLimits,
		private readonly onEnded: (id: RequestId, attempt: number, outcome: AttemptOutcome) => void,
	) {}

	start(action: StartAction, call: OutgoingCall, response: RunResponse): void {
		const active: ActiveAttempt = {
			attempt: action.attempt,
			abortController: new AbortController(),
			url: action.url,
			isModelRequest: call.chat !== undefined,
			isCancelled: false,
		}
		this.activeAttempts.set(action.runId, active)
		void this.execute(action, call, response, active)
			.catch((error: unknown) => outcomeOfError(error))
			.then((outcome) => this.finish(action, active, response, outcome))
	}

	/** Cancels an attempt. The outcome has the number of output tokens that the target reports. */
	cancel(id: RequestId, attempt: number): void {
		const active = this.activeAttempts.get(id)
		if (!active || active.attempt !== attempt) return
		active.isCancelled = true
		void this.cancelAtTarget(id, active).then((outputTokens) => {
			active.abortController.abort()
			this.activeAttempts.delete(id)
			this.onEnded(id, attempt, { kind: 'cancelled', outputTokens })
		})
	}

	async close(): Promise<void> {
		for (const active of this.activeAttempts.values()) active.abortController.abort()
		await this.agent.destroy()
	}

	private finish(
		action: StartAction,
		active: ActiveAttempt,
		response: RunResponse,
		outcome: AttemptOutcome,
	): void {
		if (active.isCancelled) return
		if (this.activeAttempts.get(action.runId) === active) this.activeAttempts.delete(action.runId)
		const isBroken = outcome.kind === 'broken'
		if (isBroken && active.isModelRequest) void this.cancelAtTarget(action.runId, active)
		const final = isBroken ? { ...outcome, delivered: response.isDelivered() } : outcome
		if (final.kind !== 'whole' && !response.isDelivered()) response.reset()
		this.onEnded(action.runId, action.attempt, final)
	}

	private async execute(
		action: StartAction,
		call: OutgoingCall,
		response: RunResponse,
		active: ActiveAttempt,
	): Promise<AttemptOutcome> {
		const reply = await this.send(action, call, active)
		const fault = findHeadFault({ status: reply.statusCode, rawHeaders: fieldsOf(reply.headers) })
		if (fault !== undefined) {
			await reply.body.dump()
			return brokenOutcome(`no HTTP answer: ${fault}`, 0)
		}
		if (REJECTION_STATUSES.has(reply.statusCode) || (action.resume && reply.statusCode >= 400)) {
			await reply.body.dump()
			return rejectedOutcome(reply)
		}
		const isStream = call.chat?.stream === true && reply.statusCode === 200
		return isStream
			? this.readStream(reply, response, action)
			: this.readBuffered(reply, response, action, call)
	}

	private send(
		action: StartAction,
		call: OutgoingCall,
		active: ActiveAttempt,
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
			signal: active.abortController.signal,
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

	/** Forwards a stream as it arrives, but withholds its final events. */
	private async readStream(
		reply: Dispatcher.ResponseData,
		response: RunResponse,
		action: StartAction,
	): Promise<AttemptOutcome> {
		const reader = new SseReader()
		let bytes = 0
		let hasSentHead = false
		for await (const chunk of reply.body) {
			bytes += (chunk as Buffer).length
			if (bytes > this.limits.answerBytes)
				return brokenOutcome('the answer is too long', reader.contentEventCount)
			const { ready, withheld } = reader.push(chunk as Buffer)
			if (!hasSentHead && ready.length + withheld.length > 0) {
				hasSentHead = true
				response.sendHead({ status: 200, headers: this.responseHeaders(reply, action) })
			}
			for (const event of ready) response.sendData(event)
			response.withhold(withheld)
		}
		if (!reader.isDone || !reader.usage)
			return brokenOutcome('the stream broke off', reader.contentEventCount)
		const { input, output } = reader.usage
		return { kind: 'whole', inputTokens: input, outputTokens: output }
	}

	private async readBuffered(
		reply: Dispatcher.ResponseData,
		response: RunResponse,
		action: StartAction,
		call: OutgoingCall,
	): Promise<AttemptOutcome> {
		const chunks: Buffer[] = []
		let bytes = 0
		for await (const chunk of reply.body) {
			bytes += (chunk as Buffer).length
			if (bytes > this.limits.answerBytes) return brokenOutcome('the answer is too long', 0)
			chunks.push(chunk as Buffer)
		}
		const usage =
			call.chat && reply.statusCode === 200 ? readUsage(chunks) : { input: 0, output: 0 }
		if (!usage) return brokenOutcome('the answer makes no sense', 0)
		response.withhold(chunks, {
			status: reply.statusCode,
			headers: this.responseHeaders(reply, action),
		})
		return { kind: 'whole', inputTokens: usage.input, outputTokens: usage.output }
	}

	private responseHeaders(
		reply: Dispatcher.ResponseData,
		action: StartAction,
	): Record<string, string> {
		const headers: Record<string, string> = {
			'stallwing-run': 'yes',
			'stallwing-request-id': action.runId,
			'idempotency-key': action.runId.slice(action.runId.indexOf('/') + 1),
		}
		for (const name of FORWARDED_HEADERS) {
			const value = reply.headers[name]
			if (typeof value === 'string') headers[name] = value
		}
		return headers
	}

	private async cancelAtTarget(id: RequestId, active: ActiveAttempt): Promise<number> {
		if (!active.isModelRequest) return 0
		try {
			const reply = await request(`${active.url}/v1/runs/${encodeURIComponent(id)}/cancel`, {
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

/** Names and values alternate. */
function fieldsOf(headers: Dispatcher.ResponseData['headers']): readonly string[] {
	return Object.entries(headers).flatMap(([name, values = '']) => {
		return [values].flat().flatMap((value) => [name, value])
	})
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

function rejectedOutcome(reply: Dispatcher.ResponseData): AttemptOutcome {
	const seconds = Number(reply.headers['retry-after'])
	const status = reply.statusCode
	return Number.isFinite(seconds) && seconds > 0
		? { kind: 'rejected', status, retryAfterMs: seconds * 1000 }
		: { kind: 'rejected', status }
}

function brokenOutcome(reason: string, outputTokens: number): AttemptOutcome {
	return { kind: 'broken', reason, outputTokens, delivered: false }
}

function outcomeOfError(error: unknown): AttemptOutcome {
	const code = (error as { code?: string }).code ?? 'unknown'
	if (NOT_SENT_ERROR_CODES.has(code)) return { kind: 'not-sent', reason: code }
	return brokenOutcome(`connection to the target: ${code}`, 0)
}
