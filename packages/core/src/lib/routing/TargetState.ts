import type { TargetRecord } from '../bundle/Bundle.js'
import type { Millis } from '../units.js'

/** State of one target as this box knows it. @public */
export interface TargetState {
	record: TargetRecord
	/** Attempts of this box in flight. */
	inFlight: number
	/** When this box started to send to the target; start of its slow start. */
	sendingSince: Millis
	/** Load in the last report of the target, in requests. */
	reportedLoad: number
	reportedAt: Millis
	/** Attempts that this box has started since the last report. */
	startedSinceReport: number
	consecutiveFailures: number
	/** The target receives no requests until this time. */
	ejectedUntil: Millis
	/** True while a probe after an ejection is in flight. */
	isProbing: boolean
	/** True if the bundle, the platform's list or the target itself marks it as leaving. */
	leaving: boolean
	/** Smoothed fraction of failed attempts, 0 to 1. */
	failureRate: number
}

/** Initial state of a target that was added. @public */
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
