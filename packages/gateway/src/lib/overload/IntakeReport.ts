import type { LogEvent, StartDelayLimit } from '@stallwing/core'
import type { ReportedPart } from '../ReportedPart.js'
import type { RequestIntake } from './RequestIntake.js'

export interface IntakeReportOptions {
	readonly intake: Pick<
		RequestIntake,
		'acceptWaitMs' | 'backlogWaitMs' | 'closedUnreadCount' | 'size'
	>
	readonly startDelays: Pick<StartDelayLimit, 'isBehind' | 'refusedCount'>
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Shows operators how far this box is behind its callers, and logs when that begins and ends. */
export class IntakeReport implements ReportedPart {
	readonly name = 'intake'
	private behindSince: number | undefined
	private closedUnreadBefore = 0
	private refusedBefore = 0

	constructor(private readonly options: IntakeReportOptions) {}

	/** Must be called several times per second. */
	check(): void {
		const { intake, log, now, startDelays } = this.options
		const isBehind = startDelays.isBehind(now())
		if (isBehind === (this.behindSince !== undefined)) return
		if (isBehind) {
			this.behindSince = now()
			this.closedUnreadBefore = intake.closedUnreadCount
			this.refusedBefore = startDelays.refusedCount
			log({ name: 'box-behind', fields: this.waits })
			return
		}
		const fields = {
			behindMs: Math.round(now() - (this.behindSince ?? now())),
			closedUnread: intake.closedUnreadCount - this.closedUnreadBefore,
			refused: startDelays.refusedCount - this.refusedBefore,
		}
		this.behindSince = undefined
		log({ name: 'box-current', fields })
	}

	gauges(): Readonly<Record<string, number>> {
		const { intake, startDelays } = this.options
		return {
			stallwing_accept_wait_ms: Math.round(intake.acceptWaitMs),
			stallwing_unstarted_requests: intake.size,
			stallwing_unstarted_wait_ms: Math.round(intake.backlogWaitMs),
			stallwing_connections_closed_unread: intake.closedUnreadCount,
			stallwing_requests_refused_unstarted: startDelays.refusedCount,
		}
	}

	status(): unknown {
		const { intake, startDelays } = this.options
		return {
			isBehind: this.behindSince !== undefined,
			...this.waits,
			closedUnread: intake.closedUnreadCount,
			refused: startDelays.refusedCount,
		}
	}

	private get waits(): Readonly<Record<'acceptWaitMs' | 'unstarted' | 'unstartedWaitMs', number>> {
		const { acceptWaitMs, backlogWaitMs, size } = this.options.intake
		return {
			acceptWaitMs: Math.round(acceptWaitMs),
			unstarted: size,
			unstartedWaitMs: Math.round(backlogWaitMs),
		}
	}
}
