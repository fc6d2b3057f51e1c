import { getHeapStatistics } from 'node:v8'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { AnswerTurns, MemoryBudget, exhaustive } from '@stallwing/core'
import type { BodyGuard } from '../BodyGuard.js'
import type { CallerRequest } from '../CallerRequest.js'
import type { EarlyRefusal } from '../findEarlyRefusal.js'
import type { GatewayOptions } from '../GatewayOptions.js'
import type { ReportedPart } from '../ReportedPart.js'
import { ExchangeMemory, type Stall } from './ExchangeMemory.js'
import { readSendQueues } from './readSendQueues.js'

/** What the caller that was cut off did not read: the events of a stream, or a complete answer. */
export type CutOffCause = 'unread-stream' | 'unread-answer'

type BoxMemoryOptions = Pick<GatewayOptions, 'now' | 'log' | 'metrics' | 'dialect'>

/** Interval at which the progress of all callers is checked, in ms. A cut-off is late by at most this time. */
const CHECK_INTERVAL_MS = 250
/** Interval at which the send queues of the kernel are read while callers are suspect, in ms: the list is long. */
const QUEUE_READ_INTERVAL_MS = 500

/** The memory that the exchanges of a box hold: refuses what does not fit, and disconnects callers that stopped reading. */
export class BoxMemory implements BodyGuard, ReportedPart {
	readonly name = 'memory'
	private readonly budget: MemoryBudget
	private readonly turns = new AnswerTurns<ExchangeMemory>()
	/** Exchanges with the ids of their requests. */
	private readonly exchanges = new Map<ExchangeMemory, string>()
	private readonly cutOffs: Record<CutOffCause, number> = { 'unread-stream': 0, 'unread-answer': 0 }
	private timer: NodeJS.Timeout | undefined
	private nextQueueReadAt = 0

	constructor(
		private readonly options: BoxMemoryOptions,
		processBytes: number,
	) {
		this.budget = new MemoryBudget({ processBytes, heapBytes: getHeapStatistics().heap_size_limit })
	}

	/** Starts to count the memory of an exchange, until its response is closed and its last attempt has ended. */
	open(message: IncomingMessage, response: ServerResponse): ExchangeMemory {
		const memory = new ExchangeMemory(
			{
				budget: this.budget,
				turns: this.turns,
				now: this.options.now,
				onReleased: () => this.handleReleased(),
				onEnded: (ended) => this.exchanges.delete(ended),
			},
			message,
			response,
		)
		const requestId = message.headers[this.options.dialect.headers.requestId]
		this.exchanges.set(memory, String(requestId ?? ''))
		this.timer ??= setInterval(() => this.checkCallers(), CHECK_INTERVAL_MS).unref()
		return memory
	}

	check(request: CallerRequest, bodyBytes = 0): EarlyRefusal | undefined {
		if (this.budget.mayAccept(bodyBytes, request.rank)) return undefined
		this.options.metrics.count('stallwing_memory_refusals_total', `level="${this.budget.level}"`)
		const { bufferBytes, bufferLimit } = this.budget
		const detail = `memory: ${bufferBytes} of ${Math.round(bufferLimit)} bytes held, body of ${bodyBytes}`
		return { kind: 'overloaded', detail, availableInMs: 0 }
	}

	gauges(): Readonly<Record<string, number>> {
		const status = this.status()
		const gauges: Record<string, number> = {
			stallwing_memory_rss_bytes: status.rssBytes,
			stallwing_memory_buffer_limit_bytes: status.bufferLimitBytes,
			stallwing_memory_heap_limit_bytes: status.heapLimitBytes,
			stallwing_memory_level: levelNumber(status.level),
			stallwing_exchanges_paused: status.paused,
			stallwing_exchange_longest_pause_ms: status.longestPauseMs,
			stallwing_answers_waiting_for_memory: status.answersWaiting,
		}
		for (const [memoryClass, bytes] of Object.entries(status.heldBytes))
			gauges[`stallwing_memory_held_bytes{class="${memoryClass}"}`] = bytes
		for (const [cause, count] of Object.entries(status.cutOffs))
			gauges[`stallwing_callers_cut_off_total{cause="${cause}"}`] = count
		return gauges
	}

	status() {
		const now = this.options.now()
		const pauses = [...this.exchanges.keys()].flatMap((memory) => memory.pausedMs(now) ?? [])
		return {
			level: this.budget.level,
			heldBytes: { ...this.budget.heldByClass },
			bufferLimitBytes: Math.round(this.budget.bufferLimit),
			heapLimitBytes: Math.round(this.budget.heapLimit),
			rssBytes: process.memoryUsage.rss(),
			exchanges: this.exchanges.size,
			paused: pauses.length,
			longestPauseMs: Math.round(pauses.reduce((longest, ms) => Math.max(longest, ms), 0)),
			answersWaiting: this.turns.waitingCount,
			cutOffs: { ...this.cutOffs },
		}
	}

	private handleReleased(): void {
		if (this.turns.waitingCount > 0) this.turns.resumeReserved()
	}

	private checkCallers(): void {
		if (this.exchanges.size === 0) {
			clearInterval(this.timer)
			this.timer = undefined
			return
		}
		const now = this.options.now()
		const suspects = [...this.exchanges.keys()].filter((memory) => memory.isSuspect(now))
		if (suspects.length > 0 && now >= this.nextQueueReadAt) void this.cutOffStalled(suspects)
	}

	private async cutOffStalled(suspects: readonly ExchangeMemory[]): Promise<void> {
		this.nextQueueReadAt = Infinity
		const queues = await readSendQueues()
		const now = this.options.now()
		this.nextQueueReadAt = now + QUEUE_READ_INTERVAL_MS
		for (const memory of suspects) {
			const stall = memory.findStall(queues, now)
			if (stall) this.cutOff(memory, this.exchanges.get(memory) ?? '', stall)
		}
	}

	private cutOff(memory: ExchangeMemory, request: string, { unreadBytes, ageMs }: Stall): void {
		const cause: CutOffCause = memory.isStream ? 'unread-stream' : 'unread-answer'
		this.cutOffs[cause]++
		this.options.log({
			name: 'caller-cut-off',
			fields: { request, cause, bytes: unreadBytes, ageMs: Math.round(ageMs) },
		})
		memory.cutOff()
	}
}

/** The memory of a box; undefined where the deployment states no limit, so that nothing is counted. */
export function createBoxMemory(options: GatewayOptions): BoxMemory | undefined {
	const { memoryBytes } = options.capacity
	return memoryBytes === undefined ? undefined : new BoxMemory(options, memoryBytes)
}

function levelNumber(level: MemoryBudget['level']): number {
	switch (level) {
		case 'below':
			return 0
		case 'high':
			return 1
		case 'full':
			return 2
		default:
			return exhaustive(level)
	}
}
