import {
	NO_REVISION,
	describeRevision,
	isDrawDue,
	isSpendingLimitLow,
	isWrittenInEra,
	isOverBudget,
	nextSpendingLimit,
	planDraw,
	type AccountName,
	type AllowanceRow,
	type AllowanceView,
	type BoxName,
	type Incarnation,
	type LogEvent,
	type StoreRevision,
} from '@stallwing/core'
import type { KeyValueStore, StoreFault } from '@stallwing/store'
import type { Metrics } from '@stallwing/telemetry'
import * as E from 'fp-ts/lib/Either.js'
import type { AllowanceRecord } from './AllowanceRecord.js'
import { AllowanceClaimer } from './AllowanceClaimer.js'
import type { AllowanceState, TokensByAccount } from './AllowanceState.js'
import type { DrawReplicator } from './DrawReplicator.js'
import { ReservationQueue, type ReserveResult } from './ReservationQueue.js'
import { SpendingLimitRecord } from './SpendingLimitRecord.js'

/** What a box needs to draw. */
export interface DrawOptions {
	readonly store: KeyValueStore
	/** Key of the record of this box's spending ceilings. */
	readonly spendingLimitKey: string
	readonly box: BoxName
	readonly holder: Incarnation
	/** Where other boxes reach this one. */
	readonly address: string
	/** No process of any box ran before. */
	readonly isFirstStart: boolean
	/** This box draws from the store; others ask such boxes. */
	readonly isLender: () => boolean
	/** Tells other boxes what this one has drawn. */
	readonly telling: DrawReplicator
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Time of day, in ms. */
	readonly wallTime: () => number
	/** Time since this process started, in ms. */
	readonly uptimeMs: () => number
	readonly random: () => number
	readonly sleep: (ms: number) => Promise<void>
	readonly log: (event: LogEvent) => void
}

/** What an {@link AllowanceDrawer} works with. */
export interface AllowanceDrawerOptions extends DrawOptions {
	readonly record: AllowanceRecord
	readonly state: AllowanceState
}

/** Least time between two draws that no request waits for, in ms: boxes draw from one record. */
const MIN_DRAW_INTERVAL_MS = 1_800
/** Age from which the shared record is read again, in ms. */
const MAX_RECORD_AGE_MS = 2_000
/** The same for some time after the store came back from a copy, while some boxes have not written since. */
const MAX_RECORD_AGE_AFTER_RESTORE_MS = 300
const RESTORE_SETTLE_MS = 10_000
/** Time that one write of the record takes, in ms. */
const RECORD_WRITE_MS = 10
/** Pause of the maintenance after a failed call, in ms. */
const FAULT_RETRY_DELAY_MS = 900
const MAX_WRITE_ATTEMPTS = 8
const CONFLICT_BACKOFF_MS = 12
const CLAIM_RETRY_DELAY_MS = 200

/** Claims the right to draw for this box, draws from the shared record, and promises ceilings. */
export class AllowanceDrawer {
	private readonly queue = new ReservationQueue()
	private readonly spendingLimits: SpendingLimitRecord
	private readonly record: AllowanceRecord
	private readonly state: AllowanceState
	private readonly claimer: AllowanceClaimer
	private isClaiming = false
	private isDrawing = false
	private isDrawRequested = false
	private lastDrawAt = Number.NEGATIVE_INFINITY
	private isClosed = false
	private eraStartedAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: AllowanceDrawerOptions) {
		this.record = options.record
		this.state = options.state
		this.spendingLimits = new SpendingLimitRecord({ ...options, key: options.spendingLimitKey })
		this.claimer = new AllowanceClaimer({ ...options, spendingLimits: this.spendingLimits })
	}

	/** True once this incarnation may draw. */
	get claimed(): boolean {
		return this.state.book.claimed
	}

	/** This box draws, or would if it had claimed the right to, and the store seems to answer. */
	get canDraw(): boolean {
		if (!this.claimed) return this.options.isLender()
		return this.record.isReachable
	}

	/** Lets the book know whether its ceilings still hold. */
	updateSpendingLimitExpiry(): void {
		this.state.book.setSpendingLimitsExpired(this.spendingLimits.isExpired)
	}

	/** Claims the right to draw, trying until the store grants it. */
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

	/** Renews draws that run low and gives back what is too much. To be called some times a second. */
	async maintain(): Promise<void> {
		if (this.isClosed || this.isDrawing) return
		if (!this.claimed) {
			if (this.options.isLender()) await this.claim()
			return
		}
		const { record } = this
		if (!record.isReachable && record.msSinceFault < FAULT_RETRY_DELAY_MS) return
		if (!record.isReachable || record.ageMs > this.maxRecordAgeMs) await record.refresh()
		if (record.isReachable && (this.needsDraw() || this.needsSpendingLimitWrite()))
			await this.draw()
	}

	/**
	 * The store came back from a copy, and the record with it. What this box drew is written again at once: until then
	 * the others draw nothing that it may hold. Boxes write one record, and wait for different times.
	 */
	async onEraChange(): Promise<void> {
		const { now, random, sleep } = this.options
		this.eraStartedAt = now()
		this.spendingLimits.onEraChange()
		await sleep(random() * this.state.drawingBoxCount * RECORD_WRITE_MS)
		await this.draw()
	}

	/** Age from which the shared record is read again, in ms: what others write after a return frees tokens. */
	private get maxRecordAgeMs(): number {
		const isSettling = this.options.now() - this.eraStartedAt < RESTORE_SETTLE_MS
		return isSettling && this.record.staleBoxes.length > 0
			? MAX_RECORD_AGE_AFTER_RESTORE_MS
			: MAX_RECORD_AGE_MS
	}

	/** What this box could have free of an account after a draw and with a higher ceiling. */
	attainableTokens(account: AccountName): number {
		if (!this.canDraw) return 0
		const view = this.state.view(account)
		if (!this.claimed || view.frozen) return Number.POSITIVE_INFINITY
		return view.unspent + this.state.undrawn(view)
	}

	/** Waits for the next draw, which is made as soon as may be. */
	waitForDraw(account: AccountName, tokens: number, ms: number): Promise<ReserveResult> {
		const result = this.queue.enqueue(account, tokens, ms)
		void this.draw()
		return result
	}

	/** Claims and draws no more. */
	close(): void {
		this.isClosed = true
	}

	private needsDraw(): boolean {
		const views = this.state.views()
		if (views.some((view) => view.frozen) || !this.isOwnRowCurrent) return true
		if (this.options.now() - this.lastDrawAt < MIN_DRAW_INTERVAL_MS) return false
		return views.some((view) =>
			isDrawDue(view, this.state.undrawn(view), this.state.drawingBoxCount),
		)
	}

	/** The record tells what this box drew, in the era of the store. */
	private get isOwnRowCurrent(): boolean {
		const own = this.record.row.boxes[this.options.box]
		return own !== undefined && isWrittenInEra(own, this.record.era)
	}

	private needsSpendingLimitWrite(): boolean {
		return (
			this.spendingLimits.needsRenewal ||
			this.state.views().some((view) => isSpendingLimitLow(view, this.nextSpendingLimit(view)))
		)
	}

	private nextSpendingLimit(view: AllowanceView): number {
		return nextSpendingLimit(view, this.state.secondsToExhaustion(view))
	}

	/** Draws for all accounts at once; one draw at a time. */
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
			const served = this.queue.count
			const fault = await this.replenish()
			this.resolveQueued(fault ? this.queue.count : served)
		} while (this.isDrawRequested && this.record.isReachable)
	}

	/** Draws where that is needed, then raises the ceilings. */
	private async replenish(): Promise<StoreFault | undefined> {
		if (this.needsDraw() || this.queueNeedsDraw()) {
			const fault = await this.writeDraw(false)
			if (fault) return fault
		}
		return this.needsSpendingLimitWrite() || this.queueNeedsSpendingLimit()
			? this.writeSpendingLimits()
			: undefined
	}

	/** A request waits that this box could serve if its ceiling were higher. */
	private queueNeedsSpendingLimit(): boolean {
		return this.state.views().some((view) => {
			const smallest = this.queue.smallestRequest(view.account)
			return smallest > view.free && smallest <= view.unspent
		})
	}

	/**
	 * A request waits for more than this box holds, and what nobody has drawn could hold it. Where it
	 * can't, a draw now and then still tells the others what is spent here.
	 */
	private queueNeedsDraw(): boolean {
		const isPauseOver = this.options.now() - this.lastDrawAt >= MIN_DRAW_INTERVAL_MS
		return this.state.views().some((view) => {
			const smallest = this.queue.smallestRequest(view.account)
			if (smallest <= view.unspent) return false
			if (smallest <= view.unspent + this.state.undrawn(view)) return true
			return isPauseOver && view.committed > this.recordedSpent(view.account)
		})
	}

	/** What the record says that this box has spent. */
	private recordedSpent(account: AccountName): number {
		return this.record.row.boxes[this.options.box]?.spent[account] ?? 0
	}

	private async writeSpendingLimits(): Promise<StoreFault | undefined> {
		const waiting = this.queue.tokens()
		const marks: Record<AccountName, number> = {}
		for (const view of this.state.views()) {
			const needed = view.committed + (waiting[view.account] ?? 0)
			marks[view.account] = Math.max(
				this.nextSpendingLimit(view),
				Math.min(needed, view.drawn),
				view.committed,
			)
		}
		for (const [account, mark] of Object.entries<number>(marks))
			this.state.book.lowerSpendingLimit(account as AccountName, mark)
		const result = await this.spendingLimits.write(marks)
		this.state.book.setSpendingLimitsExpired(this.spendingLimits.isExpired)
		if (E.isLeft(result)) return this.record.noteFault(result.left)
		for (const [account, mark] of Object.entries<number>(marks))
			this.state.book.confirmSpendingLimit(account as AccountName, mark)
		return undefined
	}

	private resolveQueued(count: number): void {
		this.queue.resolveFirst(count, (account, tokens) => {
			if (this.state.book.reserve(account, tokens)) return 'reserved'
			return this.state.isSpent(account, tokens) ? 'spent' : 'unknown'
		})
	}

	/** Writes this box's draws; with `giveBack`, all that is free goes back. */
	async writeDraw(giveBack: boolean): Promise<StoreFault | undefined> {
		for (let tries = 0; tries < MAX_WRITE_ATTEMPTS; tries++) {
			const next = this.plan(giveBack)
			this.lowerDraws(next)
			const result = await this.record.write(next)
			if (E.isLeft(result)) return result.left
			if (result.right === 'written') {
				this.lastDrawAt = this.options.now()
				return this.confirmOnceReplicated(next)
			}
			await this.options.sleep(this.options.random() * CONFLICT_BACKOFF_MS * tries)
		}
		return { kind: 'refused', status: 412 }
	}

	private plan(giveBack: boolean): AllowanceRow {
		const { box, holder, address } = this.options
		return planDraw(this.record.row, {
			box,
			holder,
			address,
			budgets: this.state.budgets,
			views: this.state.views(),
			waiting: this.queue.tokens(),
			returnUnspent: giveBack,
			era: this.record.era,
			claimedInEra: this.claimer.claimedIn,
		})
	}

	/**
	 * What was drawn is used once others know of it: the store may come back from a copy that lacks it. Without them it
	 * stays drawn, and is told again with the next draw.
	 */
	private async confirmOnceReplicated(next: AllowanceRow): Promise<StoreFault | undefined> {
		const raised = this.raisedDraws(next)
		const { revision } = this.record
		if (revision && Object.keys(raised).length > 0) {
			const isKnown = await this.options.telling.replicate({
				box: this.options.box,
				revision,
				raised,
			})
			if (!isKnown) return this.noteReplicationFailure(revision)
		}
		this.confirmDraws(next)
		return undefined
	}

	private noteReplicationFailure(revision: StoreRevision): StoreFault {
		const fields = { revision: describeRevision(revision) }
		this.options.log({ name: 'allowance-untold', fields })
		return { kind: 'no-answer', cause: 'no other box knows of the draw' }
	}

	/** Draws above those that this box may use already. */
	private raisedDraws(next: AllowanceRow): TokensByAccount {
		const raised = this.ownDraws(next).filter(([account, drawn]) => {
			return drawn > this.state.view(account).drawn
		})
		return Object.fromEntries(raised) as TokensByAccount
	}

	private lowerDraws(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next)) this.state.book.lowerDraw(account, drawn)
	}

	private confirmDraws(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next))
			this.state.book.confirmDraw(account, drawn, next.budgetsVersion, isOverBudget(next, account))
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

	/** Figures by account, for a log line. */
	private formatByAccount(figure: (view: AllowanceView) => number): string {
		return this.state
			.views()
			.map((view) => `${view.account}:${Math.round(figure(view))}`)
			.join(' ')
	}

	private ownDraws(row: AllowanceRow): [AccountName, number][] {
		const drawn = row.boxes[this.options.box]?.drawn ?? {}
		const accounts = this.state.accounts
		return accounts.map((account) => [account, drawn[account] ?? 0])
	}
}
