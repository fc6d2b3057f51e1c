/** One request inside the engine. */
export interface EngineRun {
	readonly id: string
	readonly urgent: boolean
	readonly promptTokens: number
	readonly outputTokens: number
	/** Prompt tokens that still have to be read in. */
	prefillLeft: number
	produced: number
	cancelled: boolean
	/** Called after each change; the run is over once `isOver` says so. */
	onProgress: (() => void)[]
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
export function isOver(run: EngineRun): boolean {
	return run.cancelled || run.produced >= run.outputTokens
}

/**
 * Continuous batching: at each step urgent requests enter the batch first, prompts are read in up
 * to a limit, and each request that has been read in produces one token.
 */
export class EngineScheduler {
	private readonly waiting: EngineRun[] = []
	private batch: EngineRun[] = []
	private readonly prefixes = new Map<string, true>()
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly model: EngineModel) {}

	running(): number {
		return this.batch.length
	}

	queued(): number {
		return this.waiting.length
	}

	/** Adds a run. A prefix in the cache needs no reading in. */
	add(run: EngineRun, prefix: string): void {
		if (this.prefixes.has(prefix)) run.prefillLeft = Math.ceil(run.prefillLeft / 10)
		this.prefixes.delete(prefix)
		this.prefixes.set(prefix, true)
		const oldest = this.prefixes.keys().next().value
		if (this.prefixes.size > this.model.prefixCacheEntries && oldest !== undefined)
			this.prefixes.delete(oldest)
		this.waiting.push(run)
		this.schedule()
	}

	stop(): void {
		if (this.timer) clearTimeout(this.timer)
	}

	private schedule(): void {
		if (this.timer || this.batch.length + this.waiting.length === 0) return
		const ms = this.model.stepMs + this.batch.length * this.model.stepPerRequestMs
		this.timer = setTimeout(() => {
			this.timer = undefined
			this.step()
			this.schedule()
		}, ms)
	}

	private step(): void {
		this.waiting.sort((a, b) => Number(b.urgent) - Number(a.urgent))
		while (this.batch.length < this.model.batchLimit) {
			const next = this.waiting.shift()
			if (!next) break
			this.batch.push(next)
		}
		let prefill = this.model.prefillPerStep
		for (const run of this.batch) {
			const read = Math.min(prefill, run.prefillLeft)
			prefill -= read
			run.prefillLeft -= read
			if (run.prefillLeft === 0 && !run.cancelled) run.produced++
			for (const listener of [...run.onProgress]) listener()
		}
		this.batch = this.batch.filter((run) => !isOver(run))
	}
}
