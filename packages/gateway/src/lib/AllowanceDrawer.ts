import {
	NO_REVISION,
	describeRevision,
	isDrawOff,
	isMarkLow,
	isOfEra,
	isOverBudget,
	nextMark,
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
import type { DrawTelling } from './DrawTelling.js'
import { DrawWaiters, type ReserveResult } from './DrawWaiters.js'
import { SpendingPromise } from './SpendingPromise.js'

/** What a box needs to draw. */
export interface DrawOptions {
	readonly store: KeyValueStore
	/** Key of the record of this box's spending ceilings. */
	readonly markKey: string
	readonly box: BoxName
	readonly holder: Incarnation
	/** Where other boxes reach this one. */
	readonly address: string
	/** No process of any box ran before. */
	readonly isFirstStart: boolean
	/** This box draws from the store; others ask such boxes. */
	readonly isLender: () => boolean
	/** Tells other boxes what this one has drawn. */
	readonly telling: DrawTelling
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Time of day, in ms. */
	readonly wallTime: () => number
	/** Time since this process started, in ms. */
	readonly aliveMs: () => number
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
const DRAW_PAUSE_MS = 1_800
/** Age from which the shared record is read again, in ms. */
const ROW_AGE_MS = 2_000
/** The same for some time after the store came back from a copy, while some boxes have not written since. */
const SETTLING_ROW_AGE_MS = 300
const SETTLE_MS = 10_000
/** Time that one write of the record takes, in ms. */
const WRITE_MS = 10
/** Pause of the maintenance after a failed call, in ms. */
const FAULT_PAUSE_MS = 900
const CONFLICT_TRIES = 8
const CONFLICT_PAUSE_MS = 12
const CLAIM_PAUSE_MS = 200

/** Claims the right to draw for this box, draws from the shared record, and promises ceilings. */
export class AllowanceDrawer {
	private readonly waiters = new DrawWaiters()
	private readonly promise: SpendingPromise
	private readonly record: AllowanceRecord
	private readonly state: AllowanceState
	private readonly claimer: AllowanceClaimer
	private claiming = false
	private drawing = false
	private drawAgain = false
	private drewAt = Number.NEGATIVE_INFINITY
	private closed = false
	private eraBeganAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: AllowanceDrawerOptions) {
		this.record = options.record
		this.state = options.state
		this.promise = new SpendingPromise({ ...options, key: options.markKey })
		this.claimer = new AllowanceClaimer({ ...options, promise: this.promise })
	}

	/** True once this incarnation may draw. */
	get claimed(): boolean {
		return this.state.book.claimed
	}

	/** This box draws, or would if it had claimed the right to, and the store seems to answer. */
	get mayDraw(): boolean {
		if (!this.claimed) return this.options.isLender()
		return this.record.reached
	}

	/** Lets the book know whether its ceilings still hold. */
	checkPromise(): void {
		this.state.book.setPromiseOver(this.promise.isOver)
	}

	/** Claims the right to draw, trying until the store grants it. */
	async claim(): Promise<void> {
		if (this.claiming) return
		this.claiming = true
		while (!this.claimed && !this.closed) {
			if (await this.claimer.claim()) {
				void this.draw()
				return
			}
			await this.options.sleep(CLAIM_PAUSE_MS)
		}
	}

	/** Renews draws that run low and gives back what is too much. To be called some times a second. */
	async maintain(): Promise<void> {
		if (this.closed || this.drawing) return
		if (!this.claimed) {
			if (this.options.isLender()) await this.claim()
			return
		}
		const { record } = this
		if (!record.reached && record.sinceFaultMs < FAULT_PAUSE_MS) return
		if (!record.reached || record.ageMs > this.longestAgeMs) await record.refresh()
		if (record.reached && (this.needsDraw() || this.needsMark())) await this.draw()
	}

	/**
	 * The store came back from a copy, and the record with it. What this box drew is written again at once: until then
	 * the others draw nothing that it may hold. Boxes write one record, and wait for different times.
	 */
	async noteEra(): Promise<void> {
		const { now, random, sleep } = this.options
		this.eraBeganAt = now()
		this.promise.noteEra()
		await sleep(random() * this.state.drawers * WRITE_MS)
		await this.draw()
	}

	/** Age from which the shared record is read again, in ms: what others write after a return frees tokens. */
	private get longestAgeMs(): number {
		const isSettling = this.options.now() - this.eraBeganAt < SETTLE_MS
		return isSettling && this.record.unheard.length > 0 ? SETTLING_ROW_AGE_MS : ROW_AGE_MS
	}

	/** What this box could have free of an account after a draw and with a higher ceiling. */
	attainable(account: AccountName): number {
		if (!this.mayDraw) return 0
		const view = this.state.view(account)
		if (!this.claimed || view.frozen) return Number.POSITIVE_INFINITY
		return view.held + this.state.undrawn(view)
	}

	/** Waits for the next draw, which is made as soon as may be. */
	waitForDraw(account: AccountName, tokens: number, ms: number): Promise<ReserveResult> {
		const result = this.waiters.wait(account, tokens, ms)
		void this.draw()
		return result
	}

	/** Claims and draws no more. */
	close(): void {
		this.closed = true
	}

	private needsDraw(): boolean {
		const views = this.state.views()
		if (views.some((view) => view.frozen) || !this.isHeard) return true
		if (this.options.now() - this.drewAt < DRAW_PAUSE_MS) return false
		return views.some((view) => isDrawOff(view, this.state.undrawn(view), this.state.drawers))
	}

	/** The record tells what this box drew, in the era of the store. */
	private get isHeard(): boolean {
		const own = this.record.row.boxes[this.options.box]
		return own !== undefined && isOfEra(own, this.record.era)
	}

	private needsMark(): boolean {
		return (
			this.promise.isOld || this.state.views().some((view) => isMarkLow(view, this.markOf(view)))
		)
	}

	private markOf(view: AllowanceView): number {
		return nextMark(view, this.state.secondsLeft(view))
	}

	/** Draws for all accounts at once; one draw at a time. */
	async draw(): Promise<void> {
		if (this.closed) return
		if (!this.claimed) {
			if (this.options.isLender()) void this.claim()
			return
		}
		if (this.drawing) {
			this.drawAgain = true
			return
		}
		this.drawing = true
		try {
			await this.drawForWaiters()
		} finally {
			this.drawing = false
		}
	}

	private async drawForWaiters(): Promise<void> {
		do {
			this.drawAgain = false
			const served = this.waiters.count
			const fault = await this.replenish()
			this.answerWaiters(fault ? this.waiters.count : served)
		} while (this.drawAgain && this.record.reached)
	}

	/** Draws where that is needed, then raises the ceilings. */
	private async replenish(): Promise<StoreFault | undefined> {
		if (this.needsDraw() || this.waitersLackDraws()) {
			const fault = await this.writeDraw(false)
			if (fault) return fault
		}
		return this.needsMark() || this.waitersLackCeilings() ? this.writeMarks() : undefined
	}

	/** A request waits that this box could serve if its ceiling were higher. */
	private waitersLackCeilings(): boolean {
		return this.state.views().some((view) => {
			const smallest = this.waiters.smallest(view.account)
			return smallest > view.free && smallest <= view.held
		})
	}

	/**
	 * A request waits for more than this box holds, and what nobody has drawn could hold it. Where it
	 * can't, a draw now and then still tells the others what is spent here.
	 */
	private waitersLackDraws(): boolean {
		const isPauseOver = this.options.now() - this.drewAt >= DRAW_PAUSE_MS
		return this.state.views().some((view) => {
			const smallest = this.waiters.smallest(view.account)
			if (smallest <= view.held) return false
			if (smallest <= view.held + this.state.undrawn(view)) return true
			return isPauseOver && view.floor > this.toldSpent(view.account)
		})
	}

	/** What the record says that this box has spent. */
	private toldSpent(account: AccountName): number {
		return this.record.row.boxes[this.options.box]?.spent[account] ?? 0
	}

	private async writeMarks(): Promise<StoreFault | undefined> {
		const waiting = this.waiters.tokens()
		const marks: Record<AccountName, number> = {}
		for (const view of this.state.views()) {
			const needed = view.floor + (waiting[view.account] ?? 0)
			marks[view.account] = Math.max(this.markOf(view), Math.min(needed, view.drawn), view.floor)
		}
		for (const [account, mark] of Object.entries<number>(marks))
			this.state.book.lowerMark(account as AccountName, mark)
		const result = await this.promise.write(marks)
		this.state.book.setPromiseOver(this.promise.isOver)
		if (E.isLeft(result)) return this.record.noteFault(result.left)
		for (const [account, mark] of Object.entries<number>(marks))
			this.state.book.confirmMark(account as AccountName, mark)
		return undefined
	}

	private answerWaiters(count: number): void {
		this.waiters.answer(count, (account, tokens) => {
			if (this.state.book.reserve(account, tokens)) return 'reserved'
			return this.state.isSpent(account, tokens) ? 'spent' : 'unknown'
		})
	}

	/** Writes this box's draws; with `giveBack`, all that is free goes back. */
	async writeDraw(giveBack: boolean): Promise<StoreFault | undefined> {
		for (let tries = 0; tries < CONFLICT_TRIES; tries++) {
			const next = this.plan(giveBack)
			this.lower(next)
			const result = await this.record.write(next)
			if (E.isLeft(result)) return result.left
			if (result.right === 'written') {
				this.drewAt = this.options.now()
				return this.confirmOnceKnown(next)
			}
			await this.options.sleep(this.options.random() * CONFLICT_PAUSE_MS * tries)
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
			waiting: this.waiters.tokens(),
			giveBack,
			era: this.record.era,
			claimedIn: this.claimer.claimedIn,
		})
	}

	/**
	 * What was drawn is used once others know of it: the store may come back from a copy that lacks it. Without them it
	 * stays drawn, and is told again with the next draw.
	 */
	private async confirmOnceKnown(next: AllowanceRow): Promise<StoreFault | undefined> {
		const raised = this.raisedIn(next)
		const { revision } = this.record
		if (revision && Object.keys(raised).length > 0) {
			const isKnown = await this.options.telling.tell({ box: this.options.box, revision, raised })
			if (!isKnown) return this.noteUntold(revision)
		}
		this.confirm(next)
		return undefined
	}

	private noteUntold(revision: StoreRevision): StoreFault {
		const fields = { revision: describeRevision(revision) }
		this.options.log({ name: 'allowance-untold', fields })
		return { kind: 'no-answer', cause: 'no other box knows of the draw' }
	}

	/** Draws above those that this box may use already. */
	private raisedIn(next: AllowanceRow): TokensByAccount {
		const raised = this.ownDraws(next).filter(([account, drawn]) => {
			return drawn > this.state.view(account).drawn
		})
		return Object.fromEntries(raised) as TokensByAccount
	}

	private lower(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next)) this.state.book.lower(account, drawn)
	}

	private confirm(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next))
			this.state.book.confirm(account, drawn, next.budgetsVersion, isOverBudget(next, account))
		this.options.metrics.count('stallwing_draws_total')
		this.options.log({
			name: 'allowance-drawn',
			fields: {
				revision: describeRevision(this.record.revision ?? NO_REVISION),
				budgetsVersion: next.budgetsVersion,
				free: this.describe((view) => view.free),
				undrawn: this.describe((view) => this.state.undrawn(view)),
				unheard: this.record.unheard.join(' '),
			},
		})
	}

	/** Figures by account, for a log line. */
	private describe(figure: (view: AllowanceView) => number): string {
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
