import {
	AllowanceBook,
	drawnByOthers,
	isDrawOff,
	isMarkOff,
	isOverBudget,
	planClaim,
	nextMark,
	planDraw,
	richestBoxes,
	secondsToEnd,
	spentAtMost,
	spentByOthers,
	type AccountName,
	type AllowanceRow,
	type AllowanceView,
	type BoxName,
	type Budgets,
	type Incarnation,
	type LogEvent,
	type SpendingMark,
} from '@stallwing/core'
import type { KeyValueStore, StoreFault } from '@stallwing/store'
import type { Metrics } from '@stallwing/telemetry'
import * as E from 'fp-ts/lib/Either.js'
import { AllowanceRecord } from './AllowanceRecord.js'
import { DrawWaiters, type ReserveResult } from './DrawWaiters.js'
import { SpendingPromise } from './SpendingPromise.js'
import {
	NOTHING_LENT,
	TokenLending,
	type LendAnswer,
	type LendRequest,
	type Lenders,
} from './TokenLending.js'

/** What an {@link AllowanceClient} works with. */
export interface AllowanceClientOptions {
	readonly store: KeyValueStore
	/** Key of the shared record in the store. */
	readonly key: string
	/** Key of the record of this box's spending ceilings. */
	readonly markKey: string
	readonly box: BoxName
	readonly holder: Incarnation
	/** Where other boxes reach this one. */
	readonly address: string
	readonly lenders: Lenders
	/** This box draws from the store; others ask such boxes. */
	readonly isLender: () => boolean
	/** Addresses of the boxes to be asked for tokens, in order, where this box does not draw. */
	readonly lenderAddresses: (account: AccountName) => readonly string[]
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Time of day, in ms. */
	readonly wallTime: () => number
	readonly random: () => number
	readonly sleep: (ms: number) => Promise<void>
	readonly log: (event: LogEvent) => void
}

/** What the earlier incarnation had promised when this one looked. */
interface FoundPromise {
	readonly mark: SpendingMark | undefined
	/** Time of day of that look, in ms. */
	readonly readAt: number
}

/** Least time between two draws that no request waits for, in ms: boxes draw from one record. */
const DRAW_PAUSE_MS = 900
/** Age from which the shared record is read again, in ms. */
const ROW_AGE_MS = 2_000
/** Pause of the maintenance after a failed call, in ms. */
const FAULT_PAUSE_MS = 900
const CONFLICT_TRIES = 8
const CONFLICT_PAUSE_MS = 12
const CLAIM_PAUSE_MS = 200
const CLAIM_CONFLICT_PAUSE_MS = 40
const GIVE_BACK_TRIES = 2
/** Longest wait of another box for a draw, in ms: shorter than its patience with this box. */
const LEND_WAIT_MS = 70
/** Time to the end of a budget above which tokens are lent in advance, in seconds, and their part. */
const LEND_AHEAD_SECONDS = 8
const LEND_AHEAD_PART = 0.1

/** This box's part of the token budgets: draws from the store, and reservations from the draws. */
export class AllowanceClient {
	private readonly book = new AllowanceBook()
	private budgets: Budgets = { at: 0, tokens: {} }
	/** The last budget of each account that ever had one. */
	private readonly lastBudgets = new Map<AccountName, number>()
	private readonly waiters = new DrawWaiters()
	private claiming = false
	private drawing = false
	private drawAgain = false
	private drewAt = Number.NEGATIVE_INFINITY
	private closed = false
	private readonly record: AllowanceRecord
	private readonly lending: TokenLending
	private readonly promise: SpendingPromise
	private found: FoundPromise | undefined

	constructor(private readonly options: AllowanceClientOptions) {
		this.record = new AllowanceRecord(options)
		this.lending = new TokenLending({ ...options, order: (account) => this.lendersOf(account) })
		this.promise = new SpendingPromise({ ...options, key: options.markKey })
	}

	/** True once this incarnation may draw. */
	get claimed(): boolean {
		return this.book.claimed
	}

	/** True where requests need not wait for the store. */
	get ready(): boolean {
		return this.claimed || !this.options.isLender()
	}

	/** Claims the right to draw, trying until the store grants it. */
	async claim(): Promise<void> {
		if (this.claiming) return
		this.claiming = true
		while (!this.claimed && !this.closed) {
			if (await this.claimOnce()) return
			await this.options.sleep(CLAIM_PAUSE_MS)
		}
	}

	/** Takes the budgets of a new configuration. A lowered one is frozen until the next draw. */
	setBudgets(budgets: Budgets): void {
		for (const [name, tokens] of Object.entries<number>(budgets.tokens)) {
			const account = name as AccountName
			const before = this.lastBudgets.get(account) ?? 0
			this.lastBudgets.set(account, tokens)
			if (tokens >= before) continue
			this.book.freeze(account, budgets.at)
			this.options.log({
				name: 'allowance-frozen',
				fields: { account, before, after: tokens, revision: budgets.at },
			})
		}
		this.budgets = budgets
		void this.draw()
	}

	/**
	 * Sets tokens aside. Where this box holds too little, it draws from the store if it is a lender and
	 * the store answers, and asks other boxes otherwise.
	 */
	async reserve(account: AccountName, tokens: number, patienceMs: number): Promise<ReserveResult> {
		const { book } = this
		book.noteDemand(account, tokens, this.options.now())
		book.setPromiseOver(this.promise.isOver)
		if (book.reserve(account, tokens)) return 'reserved'
		if (this.isSpent(account, tokens)) return 'spent'
		if (this.closed || patienceMs <= 0) return 'unknown'
		if (this.mayDraw) {
			const result = await this.waitForDraw(account, tokens, patienceMs)
			if (result !== 'unknown' || !this.claimed) return result
		}
		const result = await this.lending.borrow(book, account, tokens)
		if (result === 'reserved') return result
		// What was gathered in vain is of more use at a lender.
		if (!this.claimed) void this.lending.handOver(book, account, this.budgets.at)
		return this.isSpent(account, tokens) ? 'spent' : result
	}

	/**
	 * Hands tokens to another box, after a draw where this box holds too little. Undefined once this box
	 * has given back what it held.
	 */
	async lend(account: AccountName, request: LendRequest): Promise<LendAnswer | undefined> {
		const { book } = this
		if (this.closed) return undefined
		if (!this.mayLend) return NOTHING_LENT
		book.noteDemand(account, request.tokens, this.options.now())
		book.setPromiseOver(this.promise.isOver)
		const needed = await this.setAside(account, request.tokens)
		const lent = needed < request.tokens ? needed : needed + this.lendAhead(account, request.ahead)
		const left = this.leftAtMost(account)
		this.options.log({ name: 'allowance-lent', fields: { account, ...request, lent, left } })
		return { lent, left, budgetsAt: this.budgets.at }
	}

	/** Ends a reservation. */
	settle(account: AccountName, reserved: number, charged: number): void {
		this.book.settle(account, reserved, charged)
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
		if (!record.reached || record.ageMs > ROW_AGE_MS) await record.refresh()
		if (record.reached && (this.needsDraw() || this.needsMark())) await this.draw()
	}

	/** Stops reservations and gives back what is free. */
	async giveBack(): Promise<void> {
		this.book.close()
		this.closed = true
		// A write without an answer may still be done: after one, nothing may go to another box.
		if (!this.claimed || (await this.record.refresh())) {
			await this.handOver()
			return
		}
		for (let tries = 0; this.claimed && tries < GIVE_BACK_TRIES; tries++) {
			if (!(await this.writeDraw(true))) return
			await this.options.sleep(CLAIM_PAUSE_MS)
		}
	}

	/** Takes over tokens of a box that stops while the store can't be reached. */
	accept(account: AccountName, tokens: number, budgetsAt: number): boolean {
		if (this.closed) return false
		this.book.borrow(account, tokens, budgetsAt)
		return true
	}

	/** Gives what is free to a box that answers: the store could not be told. */
	private async handOver(): Promise<void> {
		const { book } = this
		book.setPromiseOver(this.promise.isOver)
		for (const account of this.accounts())
			await this.lending.handOver(book, account, this.budgets.at)
	}

	/** What is held of each account, for metrics. */
	views(): AllowanceView[] {
		const { book } = this
		const now = this.options.now()
		return this.accounts().map((account) => book.view(account, now))
	}

	/** This box draws, or would if it had claimed the right to, and the store seems to answer. */
	private get mayDraw(): boolean {
		if (!this.claimed) return this.options.isLender()
		return this.record.reached
	}

	private get mayLend(): boolean {
		return this.claimed || this.options.isLender()
	}

	/** Counts tokens as spent here, as many of those asked for as can be had. */
	private async setAside(account: AccountName, tokens: number): Promise<number> {
		const { book } = this
		const isShort = book.free(account) < tokens && !this.isSpent(account, tokens)
		if (isShort && this.mayDraw) {
			const result = await this.waitForDraw(account, tokens, LEND_WAIT_MS)
			if (result === 'reserved') return tokens
		}
		return book.lend(account, tokens)
	}

	/** A small part of what is free, while the budget is far from its end. */
	private lendAhead(account: AccountName, tokens: number): number {
		const { book } = this
		const view = book.view(account, this.options.now())
		const { row } = this.record
		const seconds = secondsToEnd(row, this.options.box, view, this.undrawn(view))
		if (seconds < LEND_AHEAD_SECONDS) return 0
		const lent = book.lend(
			account,
			Math.min(tokens, Math.max(0, Math.floor(view.free * LEND_AHEAD_PART))),
		)
		book.noteDemand(account, lent, this.options.now())
		return lent
	}

	private waitForDraw(account: AccountName, tokens: number, ms: number): Promise<ReserveResult> {
		const result = this.waiters.wait(account, tokens, ms)
		void this.draw()
		return result
	}

	private lendersOf(account: AccountName): readonly string[] {
		if (!this.claimed) return this.options.lenderAddresses(account)
		return richestBoxes(this.record.row, account, this.options.box).map((draws) => draws.address)
	}

	/** Boxes that have ever drawn. */
	private get drawers(): number {
		return Math.max(1, Object.keys(this.record.row.boxes).length)
	}

	private async claimOnce(): Promise<boolean> {
		const { box, holder, address } = this.options
		const found = await this.findPromise()
		if (E.isLeft(found)) return false
		if (await this.record.read()) return false
		const before = this.record.row.boxes[box]
		const spent = spentAtMost(before, found.right.mark, found.right.readAt)
		const next = planClaim(this.record.row, { box, holder, address, spent })
		const result = await this.record.write(next)
		if (E.isLeft(result)) return false
		// Another box wrote first, or a write of ours whose answer was lost: claiming again does no harm.
		if (result.right === 'conflict') {
			await this.options.sleep(this.options.random() * CLAIM_CONFLICT_PAUSE_MS)
			return this.claimOnce()
		}
		this.book.claim(spent)
		this.logClaim(found.right, sum(before?.drawn), sum(spent))
		void this.draw()
		return true
	}

	private logClaim(found: FoundPromise, drawnBefore: number, spentBefore: number): void {
		this.options.log({
			name: 'allowance-claimed',
			fields: {
				holder: this.options.holder,
				revision: this.record.revision,
				promise: found.mark?.holder ?? '',
				promiseAgeMs: Math.round(found.readAt - (found.mark?.wallTime ?? 0)),
				drawnBefore,
				spentBefore,
			},
		})
	}

	/** The promise of the earlier incarnation, read once: a later look would find its lease over. */
	private async findPromise(): Promise<E.Either<StoreFault, FoundPromise>> {
		if (this.found) return E.right(this.found)
		const read = await this.promise.readPrevious()
		if (E.isLeft(read)) return E.left(this.record.noteFault(read.left))
		this.found = { mark: read.right, readAt: this.options.wallTime() }
		return E.right(this.found)
	}

	private needsDraw(): boolean {
		const views = this.views()
		if (views.some((view) => view.frozen)) return true
		if (this.options.now() - this.drewAt < DRAW_PAUSE_MS) return false
		return views.some((view) => isDrawOff(view, this.undrawn(view), this.drawers))
	}

	private needsMark(): boolean {
		return this.promise.isOld || this.views().some((view) => isMarkOff(view, this.markOf(view)))
	}

	private markOf(view: AllowanceView): number {
		const { row } = this.record
		return nextMark(view, secondsToEnd(row, this.options.box, view, this.undrawn(view)))
	}

	private undrawn(view: AllowanceView): number {
		const others = drawnByOthers(this.record.row, view.account, this.options.box)
		return Math.max(0, (this.budgets.tokens[view.account] ?? 0) - others - view.drawn)
	}

	private isSpent(account: AccountName, tokens: number): boolean {
		return tokens > this.leftAtMost(account)
	}

	/** What may be left of a budget, wherever it lies; Infinity where that can't be told. */
	private leftAtMost(account: AccountName): number {
		const budget = this.budgets.tokens[account]
		if (budget === undefined || this.record.row.budgetsAt > this.budgets.at)
			return Number.POSITIVE_INFINITY
		const others = spentByOthers(this.record.row, account, this.options.box)
		return budget - others - this.book.view(account, this.options.now()).floor
	}

	/** Draws for all accounts at once; one draw at a time. */
	private async draw(): Promise<void> {
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
		return this.writeMarks()
	}

	/**
	 * A request waits for more than this box holds, and what nobody has drawn could hold it. Where it
	 * can't, a draw now and then still tells the others what is spent here.
	 */
	private waitersLackDraws(): boolean {
		const isPauseOver = this.options.now() - this.drewAt >= DRAW_PAUSE_MS
		return this.views().some((view) => {
			const smallest = this.waiters.smallest(view.account)
			if (smallest <= view.held) return false
			if (smallest <= view.held + this.undrawn(view)) return true
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
		for (const view of this.views()) {
			const needed = view.floor + (waiting[view.account] ?? 0)
			marks[view.account] = Math.max(this.markOf(view), Math.min(needed, view.drawn), view.floor)
		}
		for (const [account, mark] of Object.entries<number>(marks))
			this.book.lowerMark(account as AccountName, mark)
		const result = await this.promise.write(marks)
		this.book.setPromiseOver(this.promise.isOver)
		if (E.isLeft(result)) return this.record.noteFault(result.left)
		for (const [account, mark] of Object.entries<number>(marks))
			this.book.confirmMark(account as AccountName, mark)
		return undefined
	}

	private answerWaiters(count: number): void {
		this.waiters.answer(count, (account, tokens) => {
			if (this.book.reserve(account, tokens)) return 'reserved'
			return this.isSpent(account, tokens) ? 'spent' : 'unknown'
		})
	}

	private async writeDraw(giveBack: boolean): Promise<StoreFault | undefined> {
		for (let tries = 0; tries < CONFLICT_TRIES; tries++) {
			const next = this.plan(giveBack)
			this.lower(next)
			const result = await this.record.write(next)
			if (E.isLeft(result)) return result.left
			if (result.right === 'written') {
				this.drewAt = this.options.now()
				this.confirm(next)
				return undefined
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
			budgets: this.budgets,
			views: this.views(),
			waiting: this.waiters.tokens(),
			giveBack,
		})
	}

	private lower(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next)) this.book.lower(account, drawn)
	}

	private confirm(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next))
			this.book.confirm(account, drawn, next.budgetsAt, isOverBudget(next, account))
		this.options.metrics.count('stallwing_draws_total')
		this.options.log({
			name: 'allowance-drawn',
			fields: {
				revision: this.record.revision,
				budgetsAt: next.budgetsAt,
				free: this.describe((view) => view.free),
				undrawn: this.describe((view) => this.undrawn(view)),
			},
		})
	}

	/** Figures by account, for a log line. */
	private describe(figure: (view: AllowanceView) => number): string {
		return this.views()
			.map((view) => `${view.account}:${Math.round(figure(view))}`)
			.join(' ')
	}

	private ownDraws(row: AllowanceRow): [AccountName, number][] {
		const drawn = row.boxes[this.options.box]?.drawn ?? {}
		const accounts = this.accounts()
		return accounts.map((account) => [account, drawn[account] ?? 0])
	}

	private accounts(): AccountName[] {
		return Object.keys(this.budgets.tokens) as AccountName[]
	}
}

function sum(tokens: Readonly<Record<AccountName, number>> | undefined): number {
	return Object.values<number>(tokens ?? {}).reduce((total, amount) => total + amount, 0)
}
