import { maxTotalTokens, type DeclaredWork } from '../traffic/DeclaredWork.js'

/** Memory of an engine, in tokens. @public */
export interface EngineMemory {
	/** Tokens that fit, running and cached. */
	readonly capacityTokens: number
	/** Tokens that the requests in flight hold or may come to hold. */
	readonly heldTokens: number
}

/**
 * How a request fits into the memory of an engine.
 * - `fits`: there is room next to the requests in flight.
 * - `displaces`: running requests would lose `tokens` of their memory, which the engine has to process again.
 * - `never-fits`: the request needs more than the engine has.
 * @public
 */
export type MemoryFit =
	| { readonly kind: 'fits'; readonly freeTokens: number }
	| { readonly kind: 'displaces'; readonly tokens: number }
	| { readonly kind: 'never-fits' }

/**
 * Tokens that a request may come to hold: its prompt without the `sharedTokens` that a running request holds already,
 * and its whole output.
 * @public
 */
export function tokensToHold(work: DeclaredWork, sharedTokens: number): number {
	return maxTotalTokens(work) - Math.min(work.inputTokens, sharedTokens)
}

/** Tokens held by work in flight: the sum over the requests. @public */
export function heldTokens(works: Iterable<DeclaredWork>): number {
	let tokens = 0
	for (const work of works) tokens += maxTotalTokens(work)
	return tokens
}

/** Whether a request fits. `sharedTokens` of its prompt are held by a running request already. @public */
export function memoryFit(
	{ capacityTokens, heldTokens: held }: EngineMemory,
	work: DeclaredWork,
	sharedTokens = 0,
): MemoryFit {
	if (maxTotalTokens(work) > capacityTokens) return { kind: 'never-fits' }
	const freeTokens = capacityTokens - held - tokensToHold(work, sharedTokens)
	if (freeTokens >= 0) return { kind: 'fits', freeTokens }
	return { kind: 'displaces', tokens: Math.min(held, -freeTokens) }
}

/**
 * Expected cost of a request that displaces others: the displaced tokens are processed again, and meanwhile every
 * running request waits. In ms of the engine's time, summed over the requests that wait.
 * @public
 */
export function displacementCostMs(
	fit: MemoryFit,
	{ tokensPerMs, runningRequests }: { tokensPerMs: number; runningRequests: number },
): number {
	switch (fit.kind) {
		case 'fits':
			return 0
		case 'never-fits':
			return Infinity
		case 'displaces':
			return (fit.tokens / tokensPerMs) * Math.max(1, runningRequests)
	}
}
