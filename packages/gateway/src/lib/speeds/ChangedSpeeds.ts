import type { TargetIncarnation, TargetSpeedReport } from '@stallwing/core'

/** Change of the lasting factor, as a fraction, that is sent at once; smaller ones do not change the choice of a target. */
const MIN_LASTING_CHANGE = 0.05
/** Change of the current slowdown that is sent at once. */
const MIN_CURRENT_CHANGE = 0.1
/** Growth of the number of samples that is sent at once: receivers weigh factors by it. */
const MIN_SAMPLES_GROWTH = 2
/** Samples below this number do not count against those of other boxes. */
const MIN_SAMPLES = 0.1
/** Interval at which an unchanged report is sent again in case a datagram was lost, in ms. */
const RESEND_INTERVAL_MS = 5_000
/** Interval at which an unchanged unusual slowdown is sent again, in ms. */
const CURRENT_RESEND_MS = 500

interface SentReport {
	readonly report: TargetSpeedReport
	readonly at: number
}

/** Selects the reports that differ enough from those sent before to the same receivers. */
export class ChangedSpeeds {
	private sent = new Map<TargetIncarnation, SentReport>()

	/** Reports to send now, which then count as sent. */
	take(reports: readonly TargetSpeedReport[], now: number): readonly TargetSpeedReport[] {
		const kept = new Map<TargetIncarnation, SentReport>()
		const due = reports.filter((report) => {
			const before = this.sent.get(report.incarnation)
			const isDue = isWorthSending(report) && (!before || isChanged(report, before, now))
			const entry = isDue ? { report, at: now } : before
			if (entry) kept.set(report.incarnation, entry)
			return isDue
		})
		this.sent = kept
		return due
	}
}

function isWorthSending({ samples, current }: TargetSpeedReport): boolean {
	return samples >= MIN_SAMPLES || current !== undefined
}

function isChanged(report: TargetSpeedReport, before: SentReport, now: number): boolean {
	if (now - before.at >= RESEND_INTERVAL_MS) return true
	const { lasting, samples } = before.report
	if (Math.abs(report.lasting / lasting - 1) > MIN_LASTING_CHANGE) return true
	if (report.samples > MIN_SAMPLES_GROWTH * Math.max(MIN_SAMPLES, samples)) return true
	return isCurrentChanged(report, before, now)
}

/** A slow target that stays slow is reported again before the report is too old to be of use. */
function isCurrentChanged(
	report: TargetSpeedReport,
	{ report: before, at }: SentReport,
	now: number,
): boolean {
	const factor = report.current?.factor
	if (factor === undefined) return false
	if (Math.abs(factor - (before.current?.factor ?? 1)) > MIN_CURRENT_CHANGE) return true
	return Math.abs(factor - 1) > MIN_CURRENT_CHANGE && now - at >= CURRENT_RESEND_MS
}
