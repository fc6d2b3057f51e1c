import type { ServiceName } from '../ids.js'
import type { Millis } from '../units.js'

/** A target counts as alive if it sent something within this fraction of the silence of another one. */
const ALIVE_FRACTION = 0.5

/**
 * Limits how many silent attempts of a service are replaced at once. If all its targets are silent, the fault may be this
 * box or its network, or a pause that all targets share, and replacements would only use up the retries. One at a time is
 * made nevertheless: connections may have failed silently while new ones work.
 * @public
 */
export class ReplacementLimiter {
	/** Time at which any target of a service last sent something. */
	private readonly lastReceivedAt = new Map<ServiceName, Millis>()
	/** Services whose targets are all silent and for which one attempt is being replaced. */
	private readonly trials = new Set<ServiceName>()

	/** A target of the service sent something. */
	noteReceived(service: ServiceName, now: Millis): void {
		this.lastReceivedAt.set(service, now)
	}

	/**
	 * True if an attempt whose target has been silent for `silentMs` may be replaced. Then {@link begin} must be called if
	 * it is.
	 */
	mayReplace(service: ServiceName, silentMs: Millis, now: Millis): boolean {
		return this.isAnyAlive(service, silentMs, now) || !this.trials.has(service)
	}

	/** Counts a replacement until the returned function is called. */
	begin(service: ServiceName, silentMs: Millis, now: Millis): () => void {
		if (this.isAnyAlive(service, silentMs, now)) return () => undefined
		this.trials.add(service)
		return () => this.trials.delete(service)
	}

	private isAnyAlive(service: ServiceName, silentMs: Millis, now: Millis): boolean {
		const lastReceivedAt = this.lastReceivedAt.get(service) ?? Number.NEGATIVE_INFINITY
		return now - lastReceivedAt < ALIVE_FRACTION * silentMs
	}
}
