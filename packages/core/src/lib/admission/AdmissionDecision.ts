import type { Millis } from '../units.js'
import type { AdmissionOutcome, AdmissionRequest } from './AdmissionRequest.js'
import type { QueuePolicy } from './ServiceQueue.js'

/** @public */
export interface ServiceAdmissionOptions {
	readonly random: () => number
	/** Number of boxes that share the targets. */
	readonly boxCount: () => number
	readonly maxWaiting?: number
	readonly policy?: QueuePolicy
}

/** A request that waited has got its outcome. @public */
export interface AdmissionDecision {
	/** The one that {@link ServiceAdmission.enter} returned. */
	readonly ticket: number
	readonly request: AdmissionRequest
	readonly outcome: AdmissionOutcome
	readonly waitedMs: Millis
}

/** Result of {@link ServiceAdmission.enter}. @public */
export interface AdmissionStep {
	/** Identifies the request at this box. */
	readonly ticket: number
	/** Undefined while the request waits. */
	readonly outcome: AdmissionOutcome | undefined
	/** A less urgent request that gave way. */
	readonly displaced: AdmissionDecision | undefined
}

/** State of the admission to a service, for operators. @public */
export interface AdmissionStatus {
	readonly places: number
	readonly inUse: number
	/** Fraction of the places that this box may use while requests wait. */
	readonly share: number
	/** Waiting requests by rank. */
	readonly waiting: ReadonlyMap<number, number>
	/** Accounts with the most refused requests in the last seconds. */
	readonly heldAccounts: readonly string[]
}
