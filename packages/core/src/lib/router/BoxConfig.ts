import type { BoxName, Incarnation, ZoneName } from '../ids.js'
import type { Millis } from '../units.js'

/** What a box knows of itself before it has talked to anyone. @public */
export interface BoxConfig {
	readonly box: BoxName
	readonly zone: ZoneName
	readonly incarnation: Incarnation
	/** Address for peers. */
	readonly address: string
	readonly timing: Timing
}

/** Periods and limits, all in milliseconds. @public */
export interface Timing {
	readonly heartbeatPeriodMs: Millis
	/** A box that was silent for so long is dropped from the view. */
	readonly memberTimeoutMs: Millis
	/** A keeper that was silent for so long is looked up on the platform. */
	readonly leaderTimeoutMs: Millis
	readonly leaderLeaseMs: Millis
	/** Resend of a batch, handoff or testimony that was not acknowledged. */
	readonly resendDelayMs: Millis
	/** Period of the keeper's group commits of one shard. */
	readonly commitPeriodMs: Millis
	/** How long a request may wait for money before it is refused. */
	readonly maxBudgetWaitMs: Millis
	/** How long a request may wait for the witness or a settled view. */
	readonly maxReplicationWaitMs: Millis
	/** How long the keeper waits for recalled money before it calls a budget dry. */
	readonly recallTimeoutMs: Millis
	/** How often counters without an ask go to the keeper. */
	readonly countersPeriodMs: Millis
	/** How often the keeper reads the views of other zones. */
	readonly zoneViewsPeriodMs: Millis
	/** Timeout of one watch call. */
	readonly watchTimeoutMs: Millis
}

/** Default timing; `docs/CAPACITY.md` says what each costs at full size. @public */
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
