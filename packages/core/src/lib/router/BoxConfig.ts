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
	readonly heartbeat: Millis
	/** A box that was silent for so long is dropped from the view. */
	readonly memberSilent: Millis
	/** A keeper that was silent for so long is looked up on the platform. */
	readonly keeperSilent: Millis
	readonly keeperLease: Millis
	/** Resend of a batch, handoff or testimony that was not acknowledged. */
	readonly resend: Millis
	/** Period of the keeper's group commits of one shard. */
	readonly commit: Millis
	/** How long a request may wait for money before it is refused. */
	readonly moneyWait: Millis
	/** How long a request may wait for the witness or a settled view. */
	readonly securityWait: Millis
	/** How long the keeper waits for recalled money before it calls a budget dry. */
	readonly recallWait: Millis
	/** How often counters without an ask go to the keeper. */
	readonly counters: Millis
	/** How often the keeper reads the views of other zones. */
	readonly zoneViews: Millis
	/** Timeout of one watch call. */
	readonly watch: Millis
}

/** Default timing; `docs/CAPACITY.md` says what each costs at full size. @public */
export const DEFAULT_TIMING: Timing = {
	heartbeat: 500,
	memberSilent: 2_000,
	keeperSilent: 1_500,
	keeperLease: 5_000,
	resend: 300,
	commit: 50,
	moneyWait: 4_000,
	securityWait: 5_000,
	recallWait: 1_500,
	counters: 5_000,
	zoneViews: 5_000,
	watch: 10_000,
}
