import type { LogEvent } from '@stallwing/core'
import type { Metrics } from './Metrics.js'

/**
 * Counts calls to the store by kind and outcome, in the metrics and for a periodic log event.
 * @public
 */
export class StoreCallCounter {
	private readonly counts = new Map<string, number>()

	constructor(private readonly metrics: Metrics) {}

	count(call: string, outcome: string): void {
		this.metrics.count('stallwing_store_calls_total', `call="${call}",outcome="${outcome}"`)
		const key = `${call}:${outcome}`
		this.counts.set(key, (this.counts.get(key) ?? 0) + 1)
	}

	/** Returns the counts since the previous report and resets them; undefined if there were no calls. */
	takeReport(): LogEvent | undefined {
		if (this.counts.size === 0) return undefined
		const fields = Object.fromEntries(this.counts)
		this.counts.clear()
		return { name: 'store-calls', fields }
	}
}
