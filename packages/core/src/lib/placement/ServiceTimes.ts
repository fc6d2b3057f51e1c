import type { ServiceName } from '../ids.js'
import type { Millis } from '../units.js'

/** Taken for a service of which no request has been answered yet. */
const START_MS: Millis = 20
/** Weight of the newest answer. */
const WEIGHT = 0.05
/** One answer that hangs says little about the others. */
const MOST_COUNTED_MS: Millis = 500

/** Time until the first byte of an answer, for requests without prompts, as learned from answers by service. */
export class ServiceTimes {
	private readonly learned = new Map<ServiceName, Millis>()

	of(service: ServiceName): Millis {
		return this.learned.get(service) ?? START_MS
	}

	note(service: ServiceName, tookMs: Millis): void {
		const before = this.of(service)
		const counted = Math.min(MOST_COUNTED_MS, tookMs)
		this.learned.set(service, before + WEIGHT * (counted - before))
	}
}
