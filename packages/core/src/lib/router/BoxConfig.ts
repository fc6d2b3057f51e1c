import type { BoxName, Incarnation, ZoneName } from '../ids.js'
import type { Millis } from '../units.js'

/** Identity and timing of a box. @public */
export interface BoxConfig {
	readonly box: BoxName
	readonly zone: ZoneName
	readonly incarnation: Incarnation
	/** Address for other boxes. */
	readonly address: string
	readonly timing: Timing
}

/** Periods and timeouts, in milliseconds. @public */
export interface Timing {
	readonly heartbeatPeriodMs: Millis
	/** Time without heartbeats after which a box is removed from the view. */
	readonly memberTimeoutMs: Millis
	/** Time without digests after which a box queries the platform for the zone leader. */
	readonly leaderTimeoutMs: Millis
	readonly leaderLeaseMs: Millis
	/** Delay before a batch or handoff that was not acknowledged is sent again. */
	readonly resendDelayMs: Millis
	/** Minimum time between two commits of a shard by the zone leader. */
	readonly commitPeriodMs: Millis
	/** Maximum time that a request waits for budget tokens. */
	readonly maxBudgetWaitMs: Millis
	/** Maximum time that a request waits for replication or for idempotency records. */
	readonly maxReplicationWaitMs: Millis
	/** Time that the zone leader waits for recalled tokens before it reports a budget as exhausted. */
	readonly recallTimeoutMs: Millis
	/** Period of sending counters to the zone leader without a request for tokens. */
	readonly countersPeriodMs: Millis
	/** Period of reading the views of other zones by the zone leader. */
	readonly zoneViewsPeriodMs: Millis
	/** Timeout of a watch call to the platform. */
	readonly watchTimeoutMs: Millis
}

/** Default timing. `docs/CAPACITY.md` lists the cost of each value. @public */
export const DEFAULT_TIMING: Timing = {
	heartbeatPeriodMs: 500,
	memberTimeoutMs: 2_000,
	leaderTimeoutMs: 1_500,
	leaderLeaseMs: 5_000,
	resendDelayMs: 300,
	commitPeriodMs: 50,
	maxBudgetWaitMs: 4_000,
	maxReplicationWaitMs: 5_000,
	recallTimeoutMs: 1_500,
	countersPeriodMs: 5_000,
	zoneViewsPeriodMs: 5_000,
	watchTimeoutMs: 10_000,
}
