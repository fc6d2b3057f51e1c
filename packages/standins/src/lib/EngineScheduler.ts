/** One request inside the engine. */
export interface EngineRun {
	readonly id: string
	readonly isUrgent: boolean
	readonly promptTokens: number
	readonly outputTokens: number
	/** Prompt tokens that still have to be read in. */
	unreadPromptTokens: number
	producedTokens: number
	isCancelled: boolean
	/** Called after each change; the run is over once `isOver` says so. */
	progressListeners: (() => void)[]
}

/** Cost model of the engine stand-in. @public */
export interface EngineModel {
	/** Requests that one step may serve together. */
	readonly batchLimit: number
	/** Time of a step with an empty batch, in ms. */
	readonly stepMs: number
	/** Added time per request in the batch, in ms. */
	readonly stepPerRequestMs: number
	/** Prompt tokens read in per step, over all requests. */
	readonly prefillPerStep: number
	/** Prompt prefixes kept. */
	readonly prefixCacheEntries: number
}

/** A small engine: 32 together, about 25 ms a token when busy. @public */
export const DEFAULT_ENGINE_MODEL: EngineModel = {
	batchLimit: 32,
	stepMs: 8,
	stepPerRequestMs: 0.5,
	prefillPerStep: 2_048,
	prefixCacheEntries: 64,
}

/** Says whether a run will produce nothing more. */
export function isFinished(run: EngineRun): boolean {
	return run.isCancelled || run.producedTokens >= run.outputTokens
}

/**
 * Continuous batching: at each step urgent requests enter the batch first, prompts are read in up
 * to a limit, and each request that has been read in produces one token.
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

	/** Adds a run. A prefix in the cache needs no reading in. */
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
		let prefill = this.model.prefillPerStep
		for (const run of this.batch) {
			const read = Math.min(prefill, run.unreadPromptTokens)
			prefill -= read
			run.unreadPromptTokens -= read
			if (run.unreadPromptTokens === 0 && !run.isCancelled) run.producedTokens++
			for (const listener of [...run.progressListeners]) listener()
		}
		this.batch = this.batch.filter((run) => !isFinished(run))
	}
}
