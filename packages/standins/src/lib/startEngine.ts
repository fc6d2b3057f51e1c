import type { IncomingMessage, ServerResponse } from 'node:http'
import {
	DEFAULT_ENGINE_MODEL,
	EngineScheduler,
	isFinished,
	type EngineModel,
	type EngineRun,
} from './EngineScheduler.js'
import { listen, readBody, sendJson, sleep, type RunningStandin } from './httpHelpers.js'
import { NO_TARGET_FAULTS, consumeFault, type TargetFaults } from './targetFaults.js'

/** Options of an engine stand-in. @public */
export interface EngineOptions {
	readonly port: number
	readonly model: EngineModel
	/** Age of the load reports, in ms. */
	readonly reportLagMs: number
}

/** Any free port, the default engine model, load reports half a second old. @public */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
	port: 0,
	model: DEFAULT_ENGINE_MODEL,
	reportLagMs: 500,
}

interface ChatRequest {
	readonly model: string
	readonly messages: readonly { readonly role: string; readonly content: string }[]
	readonly stream?: boolean
	readonly max_tokens?: number
}

const CHARACTERS_PER_TOKEN = 4
const TOKENS_PER_MESSAGE = 4
const CACHED_PREFIX_CHARACTERS = 256
const MIN_OUTPUT_TOKENS = 8
const OUTPUT_TOKENS_SPREAD = 40
const MAX_RETAINED_RUNS = 10_000
const OVERSIZED_RESPONSE_BYTES = 4_000_000

/** Starts a model engine with a chat-completions API, cancellation and resumption of runs, and load reports. @public */
export async function startEngine(options: Partial<EngineOptions> = {}): Promise<RunningStandin> {
	const { port, model, reportLagMs } = { ...DEFAULT_ENGINE_OPTIONS, ...options }
	const engine = new EngineServer(model, reportLagMs)
	const { running } = await listen((request, response) => {
		engine.handle(request, response).catch(() => response.destroy())
	}, port)
	return {
		url: running.url,
		close: () => {
			engine.stop()
			return running.close()
		},
	}
}

class EngineServer {
	private readonly scheduler: EngineScheduler
	private readonly runs = new Map<string, EngineRun>()
	private readonly runCounts = new Map<string, number>()
	private faults: TargetFaults = { ...NO_TARGET_FAULTS }
	private loadReports: { at: number; running: number; waiting: number }[] = []

	constructor(
		model: EngineModel,
		private readonly reportLagMs: number,
	) {
		this.scheduler = new EngineScheduler(model)
	}

	stop(): void {
		this.scheduler.stop()
	}

	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = (request.url ?? '/').split('?')[0] ?? '/'
		const text = await readBody(request)
		if (path === '/v1/chat/completions') await this.chat(request, text, response)
		else if (path === '/load') sendJson(response, 200, this.laggedLoadReport())
		else if (path === '/standin/runs') sendJson(response, 200, Object.fromEntries(this.runCounts))
		else if (path === '/standin/faults') this.setFaults(text, response)
		else if (path.startsWith('/v1/runs/')) this.controlRun(path, response)
		else sendJson(response, 404, { error: { message: 'no such path' } })
	}

	private setFaults(text: string, response: ServerResponse): void {
		this.faults = { ...this.faults, ...(JSON.parse(text) as Partial<TargetFaults>) }
		sendJson(response, 200, this.faults)
	}

	private async chat(
		request: IncomingMessage,
		text: string,
		response: ServerResponse,
	): Promise<void> {
		if (this.faults.delayMs > 0) await sleep(this.faults.delayMs)
		if (consumeFault(this.faults, 'refuse')) {
			sendJson(response, 503, { error: { message: 'overloaded' } }, { 'retry-after': '1' })
			return
		}
		const body = JSON.parse(text) as ChatRequest
		const id = String(request.headers['x-request-id'] ?? `anonymous-${this.runCounts.size}`)
		this.runCounts.set(id, (this.runCounts.get(id) ?? 0) + 1)
		if (consumeFault(this.faults, 'rubbish')) {
			response.end('\u0000 rubbish')
			return
		}
		if (consumeFault(this.faults, 'tooMuch')) {
			response.end('x'.repeat(OVERSIZED_RESPONSE_BYTES))
			return
		}
		const run = this.startRun(id, body, request.headers['x-priority'] === 'urgent')
		this.sendRun(run, body.stream === true, response)
	}

	private startRun(id: string, body: ChatRequest, isUrgent: boolean): EngineRun {
		const prompt = body.messages.map((message) => message.content).join('\n')
		const promptTokens =
			Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) + body.messages.length * TOKENS_PER_MESSAGE
		const outputTokens = MIN_OUTPUT_TOKENS + (prompt.length % OUTPUT_TOKENS_SPREAD)
		const run: EngineRun = {
			id,
			isUrgent,
			promptTokens,
			outputTokens: Math.min(body.max_tokens ?? outputTokens, outputTokens),
			unreadPromptTokens: promptTokens,
			producedTokens: 0,
			isCancelled: false,
			progressListeners: [],
		}
		this.runs.set(id, run)
		const oldest = this.runs.keys().next().value
		if (this.runs.size > MAX_RETAINED_RUNS && oldest !== undefined) this.runs.delete(oldest)
		this.scheduler.add(run, prompt.slice(0, CACHED_PREFIX_CHARACTERS))
		return run
	}

	/** Sends all tokens of a run: as a stream while they are produced, or as one document when the run is finished. */
	private sendRun(run: EngineRun, isStream: boolean, response: ServerResponse): void {
		if (isStream) response.writeHead(200, { 'content-type': 'text/event-stream' })
		const closesEarly = consumeFault(this.faults, 'closeEarly')
		const stalls = consumeFault(this.faults, 'stall')
		let sent = 0
		const sendProgress = (): void => {
			if (closesEarly && run.producedTokens > run.outputTokens / 2) {
				response.destroy()
				unsubscribe()
				return
			}
			if (isStream) {
				for (; sent < run.producedTokens; sent++) response.write(formatTokenEvent(run, sent))
			}
			if (!isFinished(run) || stalls) return
			unsubscribe()
			if (run.isCancelled) response.destroy()
			else if (isStream) response.end(formatFinalEvents(run))
			else sendJson(response, 200, toCompletion(run))
		}
		const unsubscribe = (): void => {
			const index = run.progressListeners.indexOf(sendProgress)
			if (index >= 0) run.progressListeners.splice(index, 1)
		}
		run.progressListeners.push(sendProgress)
		response.on('close', unsubscribe)
		sendProgress()
	}

	private controlRun(path: string, response: ServerResponse): void {
		const [, , , rawId = '', action] = path.split('/')
		const run = this.runs.get(decodeURIComponent(rawId))
		if (!run) {
			sendJson(response, 404, { error: { message: 'unknown run' } })
			return
		}
		if (action === 'cancel') {
			if (!isFinished(run)) run.isCancelled = true
			sendJson(response, 200, usageOf(run))
		} else if (run.isCancelled) sendJson(response, 410, { error: { message: 'cancelled' } })
		else this.sendRun(run, action === 'stream', response)
	}

	private laggedLoadReport(): Record<string, unknown> {
		const at = Date.now()
		this.loadReports.push({
			at,
			running: this.scheduler.runningCount(),
			waiting: this.scheduler.queuedCount(),
		})
		const lagged = this.loadReports.filter((entry) => entry.at <= at - this.reportLagMs).at(-1)
		const chosen = lagged ?? { at, running: 0, waiting: 0 }
		this.loadReports = this.loadReports.filter((entry) => entry.at >= chosen.at)
		return { ...chosen, leaving: this.faults.leaving }
	}
}

function usageOf(run: EngineRun): Record<string, unknown> {
	const usage = { prompt_tokens: run.promptTokens, completion_tokens: run.producedTokens }
	return { usage }
}

function formatToken(run: EngineRun, i: number): string {
	return `${run.id.slice(-6)}:${i} `
}

function formatTokenEvent(run: EngineRun, i: number): string {
	const delta = { choices: [{ index: 0, delta: { content: formatToken(run, i) } }] }
	return `data: ${JSON.stringify({ object: 'chat.completion.chunk', ...delta })}\n\n`
}

function formatFinalEvents(run: EngineRun): string {
	const finalChunk = { choices: [{ index: 0, delta: {}, finish_reason: 'stop' }], ...usageOf(run) }
	return `data: ${JSON.stringify({ object: 'chat.completion.chunk', ...finalChunk })}\n\ndata: [DONE]\n\n`
}

function toCompletion(run: EngineRun): Record<string, unknown> {
	let content = ''
	for (let i = 0; i < run.producedTokens; i++) content += formatToken(run, i)
	const message = { role: 'assistant', content }
	return {
		object: 'chat.completion',
		choices: [{ index: 0, message, finish_reason: 'stop' }],
		...usageOf(run),
	}
}
