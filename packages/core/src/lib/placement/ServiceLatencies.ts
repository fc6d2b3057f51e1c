import type { ServiceName } from '../ids.js'
import type { Millis } from '../units.js'

/** Taken for a service of which no request has been answered yet. */
const INITIAL_LATENCY_MS: Millis = 20
/** Weight of the newest answer. */
const SMOOTHING_WEIGHT = 0.05
/** One answer that hangs says little about the others. */
const MAX_SAMPLE_MS: Millis = 500

/** Time until the first byte of an answer, for requests without prompts, as learned from answers by service. */
export class ServiceLatencies {
	private readonly smoothed = new Map<ServiceName, Millis>()

	of(service: ServiceName): Millis {
		return this.smoothed.get(service) ?? INITIAL_LATENCY_MS
	}

	record(service: ServiceName, tookMs: Millis): void {
		const before = this.of(service)
		const counted = Math.min(MAX_SAMPLE_MS, tookMs)
		this.smoothed.set(service, before + SMOOTHING_WEIGHT * (counted - before))
	}
}
