import type { Millis } from '../units.js'
import type { PlacementCost } from './placementCost.js'
import type { TargetOutcome, TargetState } from './TargetState.js'

/** Lower bound for expected times in slowdown measurements: very short times say little about a target. */
export const MIN_EXPECTED_MS = 10

/** Measures the speed of a target with one attempt. */
export class AttemptSpeed {
	private firstByteAt: Millis | undefined
	/** Momentary factor that the response reported. */
	private reportedMomentary: number | undefined
	private readonly isCold: boolean

	constructor(
		private readonly state: TargetState,
		private readonly cost: PlacementCost,
		private readonly sentAt: Millis,
	) {
		this.isCold = state.coldUntil > sentAt
	}

	noteFirstByte(now: Millis): void {
		this.firstByteAt = now
	}

	/** Must be called after the load report of the response was applied to the target. */
	noteLoad(now: Millis): void {
		this.reportedMomentary ??= this.state.speed.momentary(now)
	}

	/**
	 * Learns from an answer, and from an attempt without any response that took longer than usual. Rejections and
	 * failures are fast at targets of any speed. A cold target is slower than usual.
	 */
	end(outcome: TargetOutcome, now: Millis): void {
		const { speed } = this.state
		if (!speed.isKnown || this.isCold) return
		const isAnswer = outcome === 'good' || outcome === 'cancelled'
		if (this.firstByteAt !== undefined) {
			if (isAnswer) speed.addSample(this.ratioAt(this.firstByteAt), now)
			return
		}
		if (outcome !== 'cancelled' && outcome !== 'failed') return
		const leastRatio = this.ratioAt(now)
		const { lasting } = speed.measured(() => true, now)
		if (leastRatio > lasting) speed.addSample(leastRatio, now)
	}

	/** Ratio of the measured to the expected time, divided by the mean of the momentary factors at start and end. */
	private ratioAt(endedAt: Millis): number {
		const atStart = this.cost.speed?.momentary ?? 1
		const atEnd = this.reportedMomentary ?? this.state.speed.momentary(endedAt)
		const expectedMs = Math.max(MIN_EXPECTED_MS, this.cost.expectedMs)
		return (endedAt - this.sentAt) / (expectedMs * ((atStart + atEnd) / 2))
	}
}
