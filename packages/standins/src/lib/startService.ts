import type { IncomingMessage, ServerResponse } from 'node:http'
import { listen, readBody, sendJson, sleep, type RunningStandin } from './httpHelpers.js'
import { NO_TARGET_FAULTS, consumeFault, type TargetFaults } from './targetFaults.js'

/** Options of a service stand-in. @public */
export interface ServiceOptions {
	readonly port: number
}

/** Starts a service that responds on any path and counts the runs per request id. @public */
export async function startService(options: Partial<ServiceOptions> = {}): Promise<RunningStandin> {
	const service = new ServiceServer()
	const { running } = await listen((request, response) => {
		service.handle(request, response).catch(() => response.destroy())
	}, options.port ?? 0)
	return running
}

class ServiceServer {
	private readonly runCounts = new Map<string, number>()
	private faults: TargetFaults = { ...NO_TARGET_FAULTS }
	private inFlight = 0

	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = request.url ?? '/'
		const text = await readBody(request)
		if (path === '/load') {
			const { leaving } = this.faults
			const report = { at: Date.now(), running: this.inFlight, waiting: 0, leaving }
			sendJson(response, 200, report)
		} else if (path === '/standin/runs') {
			sendJson(response, 200, Object.fromEntries(this.runCounts))
		} else if (path === '/standin/faults') {
			this.faults = { ...this.faults, ...(JSON.parse(text) as Partial<TargetFaults>) }
			sendJson(response, 200, this.faults)
		} else {
			await this.handleRun(request, path, text, response)
		}
	}

	private async handleRun(
		request: IncomingMessage,
		path: string,
		text: string,
		response: ServerResponse,
	): Promise<void> {
		if (consumeFault(this.faults, 'refuse')) {
			sendJson(response, 503, { error: 'overloaded' }, { 'retry-after': '1' })
			return
		}
		const id = String(request.headers['x-request-id'] ?? 'anonymous')
		this.runCounts.set(id, (this.runCounts.get(id) ?? 0) + 1)
		this.inFlight++
		if (this.faults.delayMs > 0) await sleep(this.faults.delayMs)
		this.inFlight--
		if (consumeFault(this.faults, 'closeEarly')) response.destroy()
		else if (!consumeFault(this.faults, 'stall'))
			sendJson(response, 200, { id, method: request.method, path, bytes: text.length })
	}
}
