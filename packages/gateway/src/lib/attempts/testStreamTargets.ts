import type { IncomingMessage, ServerResponse } from 'node:http'
import { sleep } from '../sleep.js'
import type { CallerResponse, TestBox } from '../testBox.js'

/** Number of events of each stream. */
export const EVENTS_PER_STREAM = 40
const EVENT_INTERVAL_MS = 20
const EVENT_PATTERN = /^id: (\d+)\n/gm

/** A request as a target received it. */
export interface TargetRun {
	readonly target: string
	readonly requestId: string
	readonly receivedAt: number
	/** Time at which the answer was complete, or the box closed the connection; undefined while it runs. */
	endedAt?: number
}

/** For tests: targets that answer with streams or plain bodies, and can be silenced, hung or told to reject requests. */
export class TestStreamTargets {
	readonly runs: TargetRun[] = []
	/** By target, the time until which it sends nothing. */
	private readonly silentUntil = new Map<string, number>()
	private readonly rejecting = new Set<string>()

	constructor(private readonly box: TestBox) {}

	async add(...names: readonly string[]): Promise<void> {
		for (const name of names)
			await this.box.addTarget(name, (message, response) => {
				void this.answer(name, message, response)
			})
	}

	/** The targets send nothing for this time; what they are running goes on after it. */
	silence(ms: number, ...names: readonly string[]): void {
		for (const name of names) this.silentUntil.set(name, performance.now() + ms)
	}

	/** The targets reject all requests without running them. */
	reject(...names: readonly string[]): void {
		for (const name of names) this.rejecting.add(name)
	}

	/** The targets accept requests again. */
	accept(...names: readonly string[]): void {
		for (const name of names) this.rejecting.delete(name)
	}

	/** Longest time for which two targets ran the same request, in ms. */
	get longestOverlapMs(): number {
		let longest = 0
		for (const later of this.runs)
			for (const earlier of this.runsOf(later.requestId)) {
				if (earlier.receivedAt >= later.receivedAt) continue
				const end = Math.min(earlier.endedAt ?? Infinity, later.endedAt ?? Infinity)
				longest = Math.max(longest, end - later.receivedAt)
			}
		return longest
	}

	runsOf(requestId: string): readonly TargetRun[] {
		return this.runs.filter((run) => run.requestId === requestId)
	}

	private async answer(
		target: string,
		message: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		if (this.rejecting.has(target)) {
			response.writeHead(503, { 'not-run': '1' }).end()
			return
		}
		const requestId = String(message.headers['request-id'])
		const run: TargetRun = { target, requestId, receivedAt: performance.now() }
		this.runs.push(run)
		response.once('close', () => {
			run.endedAt = performance.now()
		})
		await this.waitWhileSilent(target)
		if (message.url?.startsWith('/again/') || message.url?.startsWith('/once/')) {
			response.end('done')
			return
		}
		response.writeHead(200, { 'Content-Type': 'text/event-stream' })
		const first = Number(message.headers['last-event-id'] ?? 0) + 1
		for (let id = first; id <= EVENTS_PER_STREAM && !response.destroyed; id++) {
			await this.waitWhileSilent(target)
			response.write(`id: ${id}\ndata: ${target}\n\n`)
			await sleep(EVENT_INTERVAL_MS)
		}
		response.end()
	}

	private async waitWhileSilent(target: string): Promise<void> {
		for (;;) {
			const ms = (this.silentUntil.get(target) ?? 0) - performance.now()
			if (ms <= 0) return
			// The silence of a target may be prolonged meanwhile.
			await sleep(Math.min(ms, EVENT_INTERVAL_MS))
		}
	}
}

/** Ids of the events of a response, in order. */
export function eventIdsOf({ body }: CallerResponse): readonly number[] {
	return [...body.matchAll(EVENT_PATTERN)].map(([, id]) => Number(id))
}

/** True if each event arrived once, in order, and the response is complete. */
export function isWholeStream(response: CallerResponse): boolean {
	const ids = eventIdsOf(response)
	const isInOrder = ids.every((id, index) => id === index + 1)
	return response.isComplete && isInOrder && ids.length === EVENTS_PER_STREAM
}
