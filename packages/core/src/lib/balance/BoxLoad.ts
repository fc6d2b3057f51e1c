import type { BoxName, ZoneName } from '../ids.js'
import type { Millis } from '../units.js'

/** How busy a box is, as it measures itself and reports it to the other boxes of its zone. @public */
export interface BoxLoad {
	readonly box: BoxName
	readonly zone: ZoneName
	/** Bytes per second that the link of the box carries in each direction. */
	readonly linkBytesPerSecond: number
	/** Used share of the link, in the busier direction; about 1 if the link is full. */
	readonly linkUse: number
	/** Sustained delay of the event loop. */
	readonly loopDelayMs: Millis
	/** False while the box takes no new connections of callers. */
	readonly isReady: boolean
}

/** The last report of another box. @public */
export interface PeerBoxLoad extends BoxLoad {
	readonly receivedAt: Millis
}

/** What a box does about its load. @public */
export interface BalanceDecision {
	/** False if the box should take no new connections for now. */
	readonly isReady: boolean
	/**
	 * Share of its kept connections that the box should close after their current response, largest callers first;
	 * 0 to close none.
	 */
	readonly closeShare: number
	/** Reason for the log. */
	readonly reason: BalanceReason
}

/**
 * - `within-limits`: the box is not overloaded.
 * - `no-fresh-reports`: the box is overloaded, but knows too little of the others to move callers to them.
 * - `no-room-elsewhere`: the other boxes of the zone could not carry the callers.
 * - `others-go-first`: as many boxes of the zone as may be out of service at once already are.
 * - `moving-callers`: the box moves callers to other boxes.
 * - `settling`: the box moved callers a short time ago and waits for the effect.
 * @public
 */
export type BalanceReason =
	| 'within-limits'
	| 'no-fresh-reports'
	| 'no-room-elsewhere'
	| 'others-go-first'
	| 'moving-callers'
	| 'settling'
