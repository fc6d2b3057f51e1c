import { MAX_BACKUP_AGE_MS, PENDING_CEILING_INTERVAL_MS, type AllowanceRow } from '@stallwing/core'

/** Measures for how long the store has held pending draw ceilings, as far as this box has seen them there. */
export class PendingCeilingClock {
	/** Times at which this box first saw each pending ceiling, by id. */
	private readonly firstSeenAt = new Map<string, number>()

	constructor(
		/** Monotonic clock, in ms. */
		private readonly now: () => number,
	) {}

	/** Notes the pending ceilings of a row that the store held. */
	observe({ ceilings, unreported }: AllowanceRow): void {
		const pending = [...(unreported?.ceilingsBefore?.pending ?? []), ...(ceilings?.pending ?? [])]
		const ids = new Set(pending.map(({ id }) => id))
		for (const id of this.firstSeenAt.keys()) if (!ids.has(id)) this.firstSeenAt.delete(id)
		for (const id of ids) if (!this.firstSeenAt.has(id)) this.firstSeenAt.set(id, this.now())
	}

	/** Ids of the ceilings that every backup from now on contains. */
	get matured(): ReadonlySet<string> {
		const latest = this.now() - MAX_BACKUP_AGE_MS
		const matured = [...this.firstSeenAt].filter(([, seenAt]) => seenAt <= latest)
		return new Set(matured.map(([id]) => id))
	}

	/** True if no ceilings were added within {@link PENDING_CEILING_INTERVAL_MS}. */
	get mayAddPending(): boolean {
		const newest = Math.max(...this.firstSeenAt.values())
		return this.now() - newest >= PENDING_CEILING_INTERVAL_MS
	}
}
