import type { ServiceName } from '../ids.js'
import type { Millis } from '../units.js'

/** Assumed for a service without any response yet. */
const INITIAL_LATENCY_MS: Millis = 20
/** Weight of the newest sample. */
const SMOOTHING_WEIGHT = 0.05
/** Caps a single sample, so that one hung response does not dominate the average. */
const MAX_SAMPLE_MS: Millis = 500

/** Smoothed time to first byte of each service, for requests without prompts. */
export class ServiceLatencies {
	private readonly smoothed = new Map<ServiceName, Millis>()

	of(service: ServiceName): Millis {
		return this.smoothed.get(service) ?? INITIAL_LATENCY_MS
	}

	record(service: ServiceName, tookMs: Millis): void {
		const previous = this.of(service)
		const sampleMs = Math.min(MAX_SAMPLE_MS, tookMs)
		this.smoothed.set(service, previous + SMOOTHING_WEIGHT * (sampleMs - previous))
	}
}
