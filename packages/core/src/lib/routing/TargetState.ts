import type { TargetRecord } from '../bundle/Bundle.js'
import type { Millis } from '../units.js'

/** What this box knows of one target. @public */
export interface TargetState {
	record: TargetRecord
	/** Attempts of this box that are in flight. */
	inFlight: number
	/** Time since which this box sends to the target; slow start counts from here. */
	sendingSince: Millis
	/** Last load report, and how many attempts this box has started since. */
	reportedLoad: number
	reportedAt: Millis
	startedSinceReport: number
	/** Failures in a row. */
	consecutiveFailures: number
	/** No work until this time. */
	ejectedUntil: Millis
	/** True while one probe is out after an ejection. */
	isProbing: boolean
	/** True where the bundle, the platform's list or the target itself says so. */
	leaving: boolean
	/** Smoothed share of failed attempts, 0 to 1. */
	failureRate: number
}

/** State of a target that this box has just heard of. @public */
export function newTargetState(record: TargetRecord, now: Millis): TargetState {
	return {
		record,
		inFlight: 0,
		sendingSince: now,
		reportedLoad: 0,
		reportedAt: 0,
		startedSinceReport: 0,
		consecutiveFailures: 0,
		ejectedUntil: 0,
		isProbing: false,
		leaving: false,
		failureRate: 0,
	}
}
