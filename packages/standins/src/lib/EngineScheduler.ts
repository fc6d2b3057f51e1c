/** A request in the engine. */
export interface EngineRun {
	readonly id: string
	readonly isUrgent: boolean
	readonly promptTokens: number
	readonly outputTokens: number
	/** Prompt tokens that are not processed yet. */
	unreadPromptTokens: number
	producedTokens: number
	isCancelled: boolean
	/** Called after each step of the run; {@link isFinished} tells whether it was the last. */
	progressListeners: (() => void)[]
}

/** Capacity and latency of the engine stand-in. @public */
export interface EngineModel {
	/** Maximum number of requests in one step. */
	readonly batchLimit: number
	/** Duration of a step with an empty batch, in ms. */
	readonly stepMs: number
	/** Additional duration of a step per request in the batch, in ms. */
	readonly stepPerRequestMs: number
	/** Maximum number of prompt tokens processed in one step, over all requests. */
	readonly prefillPerStep: number
	/** Maximum number of prompt prefixes in the cache. */
	readonly prefixCacheEntries: number
}

/** A small engine: batches of up to 32 requests, about 25 ms per token at full load. @public */
export const DEFAULT_ENGINE_MODEL: EngineModel = {
	batchLimit: 32,
	stepMs: 8,
	stepPerRequestMs: 0.5,
	prefillPerStep: 2_048,
	prefixCacheEntries: 64,
}

/** Returns true if the run will produce no further tokens. */
export function isFinished(run: EngineRun): boolean {
	return run.isCancelled || run.producedTokens >= run.outputTokens
}

/**
 * Continuous batching. Each step fills the batch, urgent requests first, processes prompt tokens up to the limit, and
 * produces one token for each request whose prompt is complete.
 */
export class EngineScheduler {
	private readonly queue: EngineRun[] = []
	private batch: EngineRun[] = []
	private readonly prefixCache = new Map<string, true>()
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly model: EngineModel) {}

	runningCount(): number {
		return this.batch.length
	}

	queuedCount(): number {
		return this.queue.length
	}

	/** Queues a run. A cached prefix cuts the prompt tokens to process to a tenth. */
	add(run: EngineRun, prefix: string): void {
		if (this.prefixCache.has(prefix))
			run.unreadPromptTokens = Math.ceil(run.unreadPromptTokens / 10)
		this.prefixCache.delete(prefix)
		this.prefixCache.set(prefix, true)
		const oldest = this.prefixCache.keys().next().value
		if (this.prefixCache.size > this.model.prefixCacheEntries && oldest !== undefined)
			this.prefixCache.delete(oldest)
		this.queue.push(run)
		this.scheduleStep()
	}

	stop(): void {
		if (this.timer) clearTimeout(this.timer)
	}

	private scheduleStep(): void {
		if (this.timer || this.batch.length + this.queue.length === 0) return
		const ms = this.model.stepMs + this.batch.length * this.model.stepPerRequestMs
		this.timer = setTimeout(() => {
			this.timer = undefined
			this.runStep()
			this.scheduleStep()
		}, ms)
	}

	private runStep(): void {
		this.queue.sort((a, b) => Number(b.isUrgent) - Number(a.isUrgent))
		while (this.batch.length < this.model.batchLimit) {
			const next = this.queue.shift()
			if (!next) break
			this.batch.push(next)
		}
		let promptTokensLeft = this.model.prefillPerStep
		for (const run of this.batch) {
			const processed = Math.min(promptTokensLeft, run.unreadPromptTokens)
			promptTokensLeft -= processed
			run.unreadPromptTokens -= processed
			if (run.unreadPromptTokens === 0 && !run.isCancelled) run.producedTokens++
			for (const listener of [...run.progressListeners]) listener()
		}
		this.batch = this.batch.filter((run) => !isFinished(run))
	}
}
