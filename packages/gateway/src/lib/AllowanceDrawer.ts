import {
	NO_REVISION,
	describeRevision,
	isOverBudget,
	planDraw,
	type AccountName,
	type AllowanceRow,
	type AllowanceView,
	type BoxName,
	type Incarnation,
	type LogEvent,
	type StoreRevision,
	type TokensByAccount,
} from '@stallwing/core'
import type { KeyValueStore, StoreFault } from '@stallwing/store'
import type { Metrics } from '@stallwing/telemetry'
import * as E from 'fp-ts/lib/Either.js'
import type { AllowanceRecord } from './AllowanceRecord.js'
import { AllowanceClaimer } from './AllowanceClaimer.js'
import type { AllowanceState } from './AllowanceState.js'
import type { DrawReplicator } from './DrawReplicator.js'
import { DrawSchedule } from './allowance/DrawSchedule.js'
import { ReservationQueue, type ReserveResult } from './ReservationQueue.js'
import { SpendingLimitRecord } from './SpendingLimitRecord.js'

export interface DrawOptions {
	readonly store: KeyValueStore
	/** Store key of this box's spending limits. */
	readonly spendingLimitKey: string
	readonly box: BoxName
	readonly holder: Incarnation
	/** Address at which other boxes reach this one. */
	readonly address: string
	/** True if no process of any box has run before. */
	readonly isFirstStart: boolean
	/** Whether this box draws from the store and lends tokens to other boxes. */
	readonly isLender: () => boolean
	/** Replicates the draws of this box to other boxes. */
	readonly replicator: DrawReplicator
	readonly metrics: Metrics
	/** Monotonic clock, in ms. */
	readonly now: () => number
	/** Wall clock, in ms. */
	readonly wallTime: () => number
	/** Time since this process started, in ms. */
	readonly uptimeMs: () => number
	readonly random: () => number
	readonly sleep: (ms: number) => Promise<void>
	readonly log: (event: LogEvent) => void
}

export interface AllowanceDrawerOptions extends DrawOptions {
	readonly record: AllowanceRecord
	readonly state: AllowanceState
}

/** Maximum age of the cached record, in ms. */
const MAX_RECORD_AGE_MS = 2_000
/**
 * Maximum age of the cached record after the store was restored from a backup, while some boxes have not written
 * their draws again, in ms.
 */
const MAX_RECORD_AGE_AFTER_RESTORE_MS = 300
/** Time after a restore for which {@link MAX_RECORD_AGE_AFTER_RESTORE_MS} applies, in ms. */
const RESTORE_SETTLE_MS = 10_000
/**
 * Time after a restore for which boxes that have not written their draws again may still report them, in ms. Longer than
 * boxes are usually cut off from the store.
 */
const MAX_REPORT_WAIT_MS = 30_000
/** Estimated duration of one write of the record, in ms. */
const RECORD_WRITE_MS = 10
/** Delay after a failed store call before {@link AllowanceDrawer.maintain} makes another, in ms. */
const FAULT_RETRY_DELAY_MS = 900
const MAX_WRITE_ATTEMPTS = 8
/** Maximum delay after the second conflict of a write, in ms. Each further conflict adds the same amount. */
const CONFLICT_BACKOFF_MS = 12
const CLAIM_RETRY_DELAY_MS = 200

/** Claims the right to draw for this box, draws tokens from the shared record, and writes the spending limits. */
export class AllowanceDrawer {
	private readonly queue = new ReservationQueue()
	private readonly spendingLimits: SpendingLimitRecord
	private readonly record: AllowanceRecord
	private readonly state: AllowanceState
	private readonly claimer: AllowanceClaimer
	private readonly schedule: DrawSchedule
	private isClaiming = false
	private isDrawing = false
	private isDrawRequested = false
	private isClosed = false
	private eraStartedAt = Number.NEGATIVE_INFINITY
	/** Number of ids assigned to pending ceilings. */
	private ceilingCount = 0

	constructor(private readonly options: AllowanceDrawerOptions) {
		this.record = options.record
		this.state = options.state
		this.spendingLimits = new SpendingLimitRecord({ ...options, key: options.spendingLimitKey })
		this.claimer = new AllowanceClaimer({ ...options, spendingLimits: this.spendingLimits })
		this.schedule = new DrawSchedule({
			...options,
			queue: this.queue,
			spendingLimits: this.spendingLimits,
		})
	}

	/** True once this process may draw. */
	get claimed(): boolean {
		return this.state.ledger.claimed
	}

	/** True if a draw can be attempted: the store is reachable, or this box is a lender that has yet to claim. */
	get canDraw(): boolean {
		if (!this.claimed) return this.options.isLender()
		return this.record.isReachable
	}

	/** Records in the ledger whether the spending limits have expired. */
	updateSpendingLimitExpiry(): void {
		this.state.ledger.setSpendingLimitsExpired(this.spendingLimits.isExpired)
	}

	/** Claims the right to draw, retrying until the claim succeeds or this drawer closes. */
	async claim(): Promise<void> {
		if (this.isClaiming) return
		this.isClaiming = true
		while (!this.claimed && !this.isClosed) {
			if (await this.claimer.claim()) {
				void this.draw()
				return
			}
			await this.options.sleep(CLAIM_RETRY_DELAY_MS)
		}
	}

	/** Tops up low draws and returns excess ones. Must be called several times per second. */
	async maintain(): Promise<void> {
		if (this.isClosed || this.isDrawing) return
		if (!this.claimed) {
			if (this.options.isLender()) await this.claim()
			return
		}
		const { record } = this
		if (!record.isReachable && record.msSinceFault < FAULT_RETRY_DELAY_MS) return
		if (!record.isReachable || record.ageMs > this.maxRecordAgeMs) await record.refresh()
		if (record.isReachable && (this.schedule.needsDraw || this.schedule.needsSpendingLimits))
			await this.draw()
	}

	/**
	 * Writes the draws of this box again after the store was restored from a backup. Until then other boxes
	 * cannot draw the tokens that this box may hold. A random delay spreads the writes of all boxes to the
	 * shared record.
	 */
	async onEraChange(): Promise<void> {
		const { now, random, sleep } = this.options
		this.eraStartedAt = now()
		this.spendingLimits.onEraChange()
		await sleep(random() * this.state.drawingBoxCount * RECORD_WRITE_MS)
		await this.draw()
	}

	/**
	 * Maximum age of the cached record, in ms. After a restore it is short, because the writes of other boxes
	 * free tokens.
	 */
	private get maxRecordAgeMs(): number {
		const isSettling = this.options.now() - this.eraStartedAt < RESTORE_SETTLE_MS
		return isSettling && this.record.staleBoxes.length > 0
			? MAX_RECORD_AGE_AFTER_RESTORE_MS
			: MAX_RECORD_AGE_MS
	}

	/** True if this box has known the era for {@link MAX_REPORT_WAIT_MS}. */
	private get isEraSettled(): boolean {
		const { now, uptimeMs } = this.options
		return Math.min(uptimeMs(), now() - this.eraStartedAt) >= MAX_REPORT_WAIT_MS
	}

	/** Number of tokens of an account that this box could have free after a draw and a higher spending limit. */
	attainableTokens(account: AccountName): number {
		if (!this.canDraw) return 0
		const view = this.state.view(account)
		if (!this.claimed || view.frozen) return Number.POSITIVE_INFINITY
		return view.unspent + this.state.drawable(view)
	}

	/** Requests a draw and waits up to `timeoutMs` for it to reserve the tokens. */
	waitForDraw(account: AccountName, tokens: number, timeoutMs: number): Promise<ReserveResult> {
		const result = this.queue.enqueue(account, tokens, timeoutMs)
		void this.draw()
		return result
	}

	/** Stops claiming and drawing. */
	close(): void {
		this.isClosed = true
	}

	/** Draws for all accounts in one write. Draws do not overlap: a call during a draw starts another one after it. */
	async draw(): Promise<void> {
		if (this.isClosed) return
		if (!this.claimed) {
			if (this.options.isLender()) void this.claim()
			return
		}
		if (this.isDrawing) {
			this.isDrawRequested = true
			return
		}
		this.isDrawing = true
		try {
			await this.drawForQueue()
		} finally {
			this.isDrawing = false
		}
	}

	private async drawForQueue(): Promise<void> {
		do {
			this.isDrawRequested = false
			const queued = this.queue.count
			const fault = await this.replenish()
			this.resolveQueued(fault ? this.queue.count : queued)
		} while (this.isDrawRequested && this.record.isReachable)
	}

	/** Writes a new draw if one is needed, then the spending limits if they have to change. */
	private async replenish(): Promise<StoreFault | undefined> {
		if (this.schedule.needsDraw || this.schedule.queueNeedsDraw) {
			const fault = await this.writeDraw(false)
			if (fault) return fault
		}
		return this.schedule.needsSpendingLimits || this.schedule.queueNeedsSpendingLimits
			? this.writeSpendingLimits()
			: undefined
	}

	private async writeSpendingLimits(): Promise<StoreFault | undefined> {
		const waiting = this.queue.tokensByAccount()
		const spendingLimits: Record<AccountName, number> = {}
		for (const view of this.state.views()) {
			const needed = view.committed + (waiting[view.account] ?? 0)
			spendingLimits[view.account] = Math.max(
				this.schedule.nextSpendingLimit(view),
				Math.min(needed, view.drawn),
				view.committed,
			)
		}
		for (const [account, spendingLimit] of Object.entries<number>(spendingLimits))
			this.state.ledger.lowerSpendingLimit(account as AccountName, spendingLimit)
		const result = await this.spendingLimits.write(spendingLimits)
		this.state.ledger.setSpendingLimitsExpired(this.spendingLimits.isExpired)
		if (E.isLeft(result)) return this.record.noteFault(result.left)
		for (const [account, spendingLimit] of Object.entries<number>(spendingLimits))
			this.state.ledger.confirmSpendingLimit(account as AccountName, spendingLimit)
		return undefined
	}

	private resolveQueued(count: number): void {
		this.queue.resolveFirst(count, (account, tokens) => {
			if (this.state.ledger.reserve(account, tokens)) return 'reserved'
			return this.state.isSpent(account, tokens) ? 'spent' : 'unknown'
		})
	}

	/** Writes the draws of this box. With `returnUnspent`, it returns all free tokens. */
	async writeDraw(returnUnspent: boolean): Promise<StoreFault | undefined> {
		for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
			const next = this.plan(returnUnspent)
			this.lowerDraws(next)
			const result = await this.record.write(next)
			if (E.isLeft(result)) return result.left
			if (result.right === 'written') {
				this.schedule.noteDraw()
				return this.confirmOnceReplicated(next)
			}
			await this.options.sleep(this.options.random() * CONFLICT_BACKOFF_MS * attempt)
		}
		return { kind: 'refused', status: 412 }
	}

	private plan(returnUnspent: boolean): AllowanceRow {
		const { box, holder, address, wallTime } = this.options
		const { matured, mayAddPending } = this.record.pendingCeilings
		const pendingId = mayAddPending ? `${holder}-${this.ceilingCount++}` : undefined
		return planDraw(this.record.row, {
			box,
			holder,
			address,
			budgets: this.state.budgets,
			views: this.state.views(),
			waiting: this.queue.tokensByAccount(),
			returnUnspent,
			era: this.record.era,
			claimedInEra: this.claimer.claimedInEra,
			ceilingStep: { matured, pendingId },
			isEraSettled: this.isEraSettled,
			wallTime: wallTime(),
		})
	}

	/**
	 * Confirms a draw once other boxes have stored it, because the store may be restored from a backup that
	 * lacks it. An unconfirmed draw is replicated again with the next one.
	 */
	private async confirmOnceReplicated(next: AllowanceRow): Promise<StoreFault | undefined> {
		const raised = this.raisedDraws(next)
		const { revision } = this.record
		if (revision && Object.keys(raised).length > 0) {
			const isReplicated = await this.options.replicator.replicate({
				box: this.options.box,
				revision,
				raised,
			})
			if (!isReplicated) return this.noteReplicationFailure(revision)
		}
		this.confirmDraws(next)
		return undefined
	}

	private noteReplicationFailure(revision: StoreRevision): StoreFault {
		const fields = { revision: describeRevision(revision) }
		this.options.log({ name: 'allowance-untold', fields })
		return { kind: 'no-answer', cause: 'no other box has stored the draw' }
	}

	/** Draws that exceed the confirmed ones, by account. */
	private raisedDraws(next: AllowanceRow): TokensByAccount {
		const raised = this.ownDraws(next).filter(([account, drawn]) => {
			return drawn > this.state.view(account).drawn
		})
		return Object.fromEntries(raised) as TokensByAccount
	}

	private lowerDraws(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next)) this.state.ledger.lowerDraw(account, drawn)
	}

	private confirmDraws(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next))
			this.state.ledger.confirmDraw(
				account,
				drawn,
				next.budgetsVersion,
				isOverBudget(next, account),
			)
		this.options.metrics.count('stallwing_draws_total')
		this.options.log({
			name: 'allowance-drawn',
			fields: {
				revision: describeRevision(this.record.revision ?? NO_REVISION),
				budgetsVersion: next.budgetsVersion,
				free: this.formatByAccount((view) => view.free),
				undrawn: this.formatByAccount((view) => this.state.undrawn(view)),
				unheard: this.record.staleBoxes.join(' '),
			},
		})
	}

	/** Formats one value per account for a log event. */
	private formatByAccount(valueOf: (view: AllowanceView) => number): string {
		return this.state
			.views()
			.map((view) => `${view.account}:${Math.round(valueOf(view))}`)
			.join(' ')
	}

	private ownDraws(row: AllowanceRow): [AccountName, number][] {
		const drawn = row.boxes[this.options.box]?.drawn ?? {}
		const accounts = this.state.accounts
		return accounts.map((account) => [account, drawn[account] ?? 0])
	}
}
