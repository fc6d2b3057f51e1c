import {
	ROW_REFRESH_INTERVAL_MS,
	isDrawDue,
	isSpendingLimitLow,
	isWrittenInEra,
	needsNewCeilings,
	nextSpendingLimit,
	type AccountName,
	type AllowanceView,
	type BoxName,
} from '@stallwing/core'
import type { AllowanceRecord } from '../AllowanceRecord.js'
import type { AllowanceState } from '../AllowanceState.js'
import type { ReservationQueue } from '../ReservationQueue.js'
import type { SpendingLimitRecord } from '../SpendingLimitRecord.js'

export interface DrawScheduleOptions {
	readonly box: BoxName
	readonly record: AllowanceRecord
	readonly state: AllowanceState
	/** Reservations that wait for a draw. */
	readonly queue: ReservationQueue
	readonly spendingLimits: SpendingLimitRecord
	/** Monotonic clock, in ms. */
	readonly now: () => number
	/** Wall clock, in ms. */
	readonly wallTime: () => number
}

/** Minimum interval between draws that no request waits for, in ms. It limits contention on the shared record. */
const MIN_DRAW_INTERVAL_MS = 1_800

/** Decides when a box writes its draws and its spending limits. */
export class DrawSchedule {
	private lastDrawAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: DrawScheduleOptions) {}

	/** Must be called after each draw that was written. */
	noteDraw(): void {
		this.lastDrawAt = this.options.now()
	}

	/** True if this box should write a draw that no request waits for. */
	get needsDraw(): boolean {
		const views = this.options.state.views()
		if (views.some((view) => view.frozen) || !this.isOwnRowCurrent) return true
		if (this.options.now() - this.lastDrawAt < MIN_DRAW_INTERVAL_MS) return false
		if (this.isRecordOld || this.needsPendingCeilings) return true
		const { state } = this.options
		return views.some((view) =>
			isDrawDue(view, state.undrawn(view), state.drawable(view), state.drawingBoxCount),
		)
	}

	private get isRecordOld(): boolean {
		const { writtenAt } = this.options.record.row
		return writtenAt !== undefined && this.options.wallTime() - writtenAt >= ROW_REFRESH_INTERVAL_MS
	}

	/** True if demand calls for other ceilings than the store holds. */
	private get needsPendingCeilings(): boolean {
		const { pendingCeilings, row } = this.options.record
		return pendingCeilings.mayAddPending && needsNewCeilings(row, this.options.state.budgets)
	}

	/** True if the record holds the draws of this box in the current era of the store. */
	private get isOwnRowCurrent(): boolean {
		const ownRow = this.options.record.row.boxes[this.options.box]
		return ownRow !== undefined && isWrittenInEra(ownRow, this.options.record.era)
	}

	/** True if the spending limits have to be written again. */
	get needsSpendingLimits(): boolean {
		return (
			this.options.spendingLimits.needsRenewal ||
			this.options.state
				.views()
				.some((view) => isSpendingLimitLow(view, this.nextSpendingLimit(view)))
		)
	}

	/** The spending limit to write for an account, cumulative like the draws. */
	nextSpendingLimit(view: AllowanceView): number {
		return nextSpendingLimit(view, this.options.state.secondsToExhaustion(view))
	}

	/** True if a waiting request fits into the draw of this box but not under its spending limit. */
	get queueNeedsSpendingLimits(): boolean {
		return this.options.state.views().some((view) => {
			const smallest = this.options.queue.smallestRequest(view.account)
			return smallest > view.free && smallest <= view.unspent
		})
	}

	/**
	 * True if a waiting request needs more tokens than this box holds and a draw could provide them. If a draw could
	 * not, still true once per {@link MIN_DRAW_INTERVAL_MS}, so that the box publishes how much it has spent.
	 */
	get queueNeedsDraw(): boolean {
		const isIntervalOver = this.options.now() - this.lastDrawAt >= MIN_DRAW_INTERVAL_MS
		return this.options.state.views().some((view) => {
			const smallest = this.options.queue.smallestRequest(view.account)
			if (smallest <= view.unspent) return false
			if (smallest <= view.unspent + this.options.state.drawable(view)) return true
			return isIntervalOver && view.committed > this.recordedSpent(view.account)
		})
	}

	/** Tokens that the record lists as spent by this box. */
	private recordedSpent(account: AccountName): number {
		return this.options.record.row.boxes[this.options.box]?.spent[account] ?? 0
	}
}
