import { SECOND_MS, type Millis } from '../units.js'

interface Absence {
	readonly from: Millis
	readonly until: Millis
}

/** The load balancer notices within a second that a box is ready again, and use is measured over another one. */
const MIN_PRESENCE_MS: Millis = 2 * SECOND_MS
const PERIOD_MS: Millis = 40 * SECOND_MS
/**
 * The first box in the order of the load balancer serves a large account whenever it is ready. Half of the time divides
 * the account evenly between this box and those that take turns with it.
 */
const MAX_ABSENCE_MS: Millis = PERIOD_MS / 2

/** Limits how often and how long a box is out of readiness. */
export class ReadinessBudget {
	private absences: Absence[] = []

	/** Records a time out of readiness that has ended. */
	noteAbsence(from: Millis, until: Millis): void {
		this.absences.push({ from, until })
	}

	/** Returns true if the box returned too recently for the effect to be seen. */
	isSettling(now: Millis): boolean {
		const last = this.absences.at(-1)
		return last !== undefined && now - last.until < MIN_PRESENCE_MS
	}

	/** Returns true if the box may be out from `now` for `durationMs`. */
	mayLeave(now: Millis, durationMs: Millis): boolean {
		if (this.isSettling(now)) return false
		const periodStart = now + durationMs - PERIOD_MS
		this.absences = this.absences.filter((absence) => absence.until > periodStart)
		let absentMs = durationMs
		for (const { from, until } of this.absences) absentMs += until - Math.max(from, periodStart)
		return absentMs <= MAX_ABSENCE_MS
	}
}
