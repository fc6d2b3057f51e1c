import type { Millis } from '../units.js'

/** Time for which the wait of a probe is taken for that of the connections after it. */
const PROBE_MAX_AGE_MS: Millis = 150

/** A connection of the box to itself that was accepted. */
interface AcceptedProbe {
	readonly sentAt: Millis
	readonly acceptedAt: Millis
}

/**
 * Estimates when requests arrived that a box has only now read. The event loop accepts one connection in each turn, so
 * connections that arrive faster than the loop turns wait in a queue that the box does not see, and a request on one of
 * them looks fresh when it is read. Connections that wait have arrived after the last turn that found none. While there
 * is no such turn, probes show how long connections wait.
 * @public
 */
export class ArrivalEstimator<Connection> {
	/** Earliest time at which the connections that are accepted now can have arrived; undefined if none was waiting. */
	private waitingSince: Millis | undefined
	private probe: AcceptedProbe | undefined
	/** Connections accepted in this turn and in the one before, with the estimated time of their arrival. */
	private accepted = new Map<Connection, Millis>()
	private acceptedBefore = new Map<Connection, Millis>()

	/** Notes that a connection was accepted. `delayMs`: how late the event loop is. */
	noteAccepted(connection: Connection, now: Millis, delayMs: Millis): void {
		this.waitingSince ??= now - delayMs
		this.accepted.set(connection, now - this.waitMs(now))
	}

	/** Notes that a probe was accepted, which the box opened at `sentAt`. */
	noteProbe(sentAt: Millis, now: Millis): void {
		if (this.waitingSince === undefined || sentAt < this.waitingSince) return
		this.waitingSince = sentAt
		this.probe = { sentAt, acceptedAt: now }
	}

	/** Notes the end of a turn of the event loop. Returns true if more connections may be waiting. */
	endTurn(): boolean {
		const mayHaveMore = this.accepted.size > 0
		if (!mayHaveMore) {
			this.waitingSince = undefined
			this.probe = undefined
		}
		this.acceptedBefore = this.accepted
		this.accepted = new Map()
		return mayHaveMore
	}

	/** Time for which the connections that are accepted now have waited, as far as known; 0 if none was waiting. */
	waitMs(now: Millis): Millis {
		const { probe, waitingSince = now } = this
		if (!probe || now - probe.acceptedAt > PROBE_MAX_AGE_MS) return now - waitingSince
		return probe.acceptedAt - probe.sentAt
	}

	/**
	 * Time at which a request arrived whose head has just been read. What is read in the turn after the connection was
	 * accepted may have come with it; what is read later was not there before.
	 */
	arrivalOf(connection: Connection, now: Millis, delayMs: Millis): Millis {
		const connectedAt = this.acceptedBefore.get(connection) ?? this.accepted.get(connection)
		return Math.min(now - delayMs, connectedAt ?? Infinity)
	}
}
