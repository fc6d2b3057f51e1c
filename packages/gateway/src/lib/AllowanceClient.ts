import {
	AllowanceBook,
	EMPTY_ALLOWANCE_ROW,
	drawnByOthers,
	isMarkOff,
	planClaim,
	nextMark,
	planDraw,
	spentAtMost,
	surelySpent,
	wantedTokens,
	type AccountName,
	type AllowanceRow,
	type AllowanceView,
	type BoxName,
	type Budgets,
	type Incarnation,
	type LogEvent,
	type SpendingMark,
} from '@stallwing/core'
import type { KeyValueStore, StoreFault, StoreItem } from '@stallwing/store'
import type { Metrics } from '@stallwing/telemetry'
import * as E from 'fp-ts/lib/Either.js'
import { SpendingPromise } from './SpendingPromise.js'

/** Whether tokens were set aside: `spent` is certain, `unknown` may change soon. */
export type ReserveResult = 'reserved' | 'spent' | 'unknown'

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
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Time of day, in ms. */
	readonly wallTime: () => number
	readonly random: () => number
	readonly sleep: (ms: number) => Promise<void>
	readonly log: (event: LogEvent) => void
}

/** Asks other boxes for tokens. */
export interface Lenders {
	/** Tokens that one box hands over; 0 where it has none or does not answer. */
	ask(address: string, account: AccountName, tokens: number): Promise<number>
	/** Whether a box answers at all. */
	isOpen(address: string): Promise<boolean>
	/** Gives tokens to one box. False: it may not have got them, and nobody else may get them. */
	give(address: string, account: AccountName, tokens: number): Promise<boolean>
}

/** What the earlier incarnation had promised when this one looked. */
interface FoundPromise {
	readonly mark: SpendingMark | undefined
	/** Time of day of that look, in ms. */
	readonly readAt: number
}

interface Waiter {
	readonly account: AccountName
	readonly tokens: number
	readonly resolve: (result: ReserveResult) => void
	readonly timer: NodeJS.Timeout
}

/** Draws are renewed when less than this part of what is wanted is left. */
const LOW_PART = 0.4
/** Less than this part of what is wanted is not worth a draw before a request asks for it. */
const CRUMB_PART = 0.05
/** Draws are given back in part above this multiple of what is wanted, and this many tokens. */
const HIGH_PART = 1.8
const HIGH_TOKENS = 4_000
/** Age from which the shared record is read again, in ms. */
const ROW_AGE_MS = 2_000
/** Boxes that are asked for tokens for one request. */
const MOST_LENDERS = 6
/** Pause of the maintenance after a failed call, in ms. */
const FAULT_PAUSE_MS = 900
const CONFLICT_TRIES = 8
const CONFLICT_PAUSE_MS = 12
const CLAIM_PAUSE_MS = 200
const CLAIM_CONFLICT_PAUSE_MS = 40
const GIVE_BACK_TRIES = 2
const BOXES_BEFORE_CLAIM = 16

/** This box's part of the token budgets: draws from the store, and reservations from the draws. */
export class AllowanceClient {
	private book: AllowanceBook | undefined
	private row: AllowanceRow = EMPTY_ALLOWANCE_ROW
	private revision = 0
	private rowAt = Number.NEGATIVE_INFINITY
	private budgets: Budgets = { at: 0, tokens: {} }
	private waiters: Waiter[] = []
	private drawing = false
	private drawAgain = false
	private reached = false
	private faultAt = Number.NEGATIVE_INFINITY
	private closed = false

	private readonly promise: SpendingPromise
	private found: FoundPromise | undefined

	constructor(private readonly options: AllowanceClientOptions) {
		this.promise = new SpendingPromise({ ...options, key: options.markKey })
	}

	/** True once this incarnation may draw. */
	get claimed(): boolean {
		return this.book !== undefined
	}

	/** Boxes that have ever drawn: what is limited for the fleet is divided by them. */
	get boxes(): number {
		if (!this.claimed) return BOXES_BEFORE_CLAIM
		return Math.max(1, Object.keys(this.row.boxes).length)
	}

	/** Addresses of the other boxes that have ever drawn. */
	peerAddresses(): string[] {
		return Object.entries(this.row.boxes)
			.filter(([box]) => box !== this.options.box)
			.map(([, draws]) => draws.address)
	}

	/** Claims the right to draw, trying until the store grants it. */
	async claim(): Promise<void> {
		while (!this.claimed && !this.closed) {
			if (await this.claimOnce()) return
			await this.options.sleep(CLAIM_PAUSE_MS)
		}
	}

	/** Takes the budgets of a new configuration. A lowered one is frozen until the next draw. */
	setBudgets(budgets: Budgets): void {
		for (const [account, tokens] of Object.entries<number>(budgets.tokens)) {
			const before = this.budgets.tokens[account as AccountName] ?? 0
			if (tokens >= before) continue
			this.book?.freeze(account as AccountName, budgets.at)
			this.options.log({
				name: 'allowance-frozen',
				fields: { account, before, after: tokens, revision: budgets.at },
			})
		}
		this.budgets = budgets
		void this.draw()
	}

	/** Sets tokens aside; waits for a draw where this box holds too little and the store answers. */
	async reserve(account: AccountName, tokens: number, patienceMs: number): Promise<ReserveResult> {
		const { book } = this
		book?.noteDemand(account, tokens, this.options.now())
		book?.setPromiseOver(this.promise.isOver)
		if (book?.reserve(account, tokens)) return 'reserved'
		if (this.isSpent(account, tokens)) return 'spent'
		if (this.closed || patienceMs <= 0) return 'unknown'
		if (!this.claimed || this.reached) {
			const result = await this.wait(account, tokens, patienceMs)
			if (result !== 'unknown' || !this.claimed) return result
		}
		return this.borrow(account, tokens)
	}

	/** Hands tokens to another box. */
	lend(account: AccountName, tokens: number): number {
		this.book?.setPromiseOver(this.promise.isOver)
		const lent = this.book?.lend(account, tokens) ?? 0
		this.options.log({ name: 'allowance-lent', fields: { account, asked: tokens, lent } })
		return lent
	}

	/** Ends a reservation. */
	settle(account: AccountName, reserved: number, charged: number): void {
		this.book?.settle(account, reserved, charged)
	}

	/** Renews draws that run low and gives back what is too much. To be called some times a second. */
	async maintain(): Promise<void> {
		if (!this.claimed || this.closed || this.drawing) return
		if (!this.reached && this.options.now() - this.faultAt < FAULT_PAUSE_MS) return
		if (!this.reached || this.options.now() - this.rowAt > ROW_AGE_MS) await this.refresh()
		if (this.reached && (this.needsDraw() || this.needsMark())) await this.draw()
	}

	/** Stops reservations and gives back what is free. */
	async giveBack(): Promise<void> {
		this.book?.close()
		this.closed = true
		// A write without an answer may still be done: after one, nothing may go to another box.
		await this.refresh()
		if (!this.reached) {
			await this.handOver()
			return
		}
		for (let tries = 0; this.claimed && tries < GIVE_BACK_TRIES; tries++) {
			if (!(await this.writeDraw(true))) return
			await this.options.sleep(CLAIM_PAUSE_MS)
		}
	}

	/** Takes over tokens of a box that stops while the store can't be reached. */
	accept(account: AccountName, tokens: number): boolean {
		if (!this.book || this.closed) return false
		this.book.borrow(account, tokens)
		return true
	}

	/** Gives what is free to a box that answers: the store could not be told. */
	private async handOver(): Promise<void> {
		const { book } = this
		if (!book) return
		book.setPromiseOver(this.promise.isOver)
		for (const account of this.accounts()) {
			const tokens = book.handOver(account)
			if (tokens === 0) continue
			const to = await this.giveToFirst(account, tokens)
			this.options.log({ name: 'allowance-handed-over', fields: { account, tokens, to } })
		}
	}

	/** The box that took the tokens, or an empty text. A box that did not answer may have them. */
	private async giveToFirst(account: AccountName, tokens: number): Promise<string> {
		for (const address of this.lendersOf(account)) {
			if (await this.options.lenders.isOpen(address))
				return (await this.options.lenders.give(address, account, tokens)) ? address : ''
		}
		return ''
	}

	/** What is held of each account, for metrics. */
	views(): AllowanceView[] {
		const { book } = this
		if (!book) return []
		const now = this.options.now()
		return this.accounts().map((account) => book.view(account, now))
	}

	private wait(account: AccountName, tokens: number, ms: number): Promise<ReserveResult> {
		return new Promise((resolve) => {
			const timer = setTimeout(() => {
				this.waiters = this.waiters.filter((entry) => entry !== waiter)
				resolve('unknown')
			}, ms)
			const waiter: Waiter = { account, tokens, resolve, timer }
			this.waiters.push(waiter)
			void this.draw()
		})
	}

	/** Gathers what is missing from other boxes, the richest first, and reserves. */
	private async borrow(account: AccountName, tokens: number): Promise<ReserveResult> {
		const { book } = this
		if (!book) return 'unknown'
		for (const address of this.lendersOf(account)) {
			const missing = tokens - Math.max(0, book.view(account, this.options.now()).free)
			if (missing > 0) await this.borrowFrom(book, address, account, missing)
			if (book.reserve(account, tokens)) return 'reserved'
			if (this.closed) return 'unknown'
		}
		return this.isSpent(account, tokens) ? 'spent' : 'unknown'
	}

	private async borrowFrom(
		book: AllowanceBook,
		address: string,
		account: AccountName,
		missing: number,
	): Promise<void> {
		const lent = await this.options.lenders.ask(address, account, missing)
		book.borrow(account, lent)
		this.options.log({
			name: 'allowance-borrowed',
			fields: { account, lender: address, asked: missing, lent },
		})
	}

	/** Addresses of other boxes, by the tokens that they seemed to hold when they last wrote. */
	private lendersOf(account: AccountName): string[] {
		return Object.entries(this.row.boxes)
			.filter(([box]) => box !== this.options.box)
			.map(([, draws]) => ({
				address: draws.address,
				held: (draws.drawn[account] ?? 0) - (draws.spent[account] ?? 0),
			}))
			.sort((a, b) => b.held - a.held)
			.slice(0, MOST_LENDERS)
			.map((entry) => entry.address)
	}

	private async claimOnce(): Promise<boolean> {
		const { store, key, box, holder, address } = this.options
		const found = await this.findPromise()
		if (E.isLeft(found)) return this.claimFailed(found.left)
		const row = await store.read(key)
		if (E.isLeft(row)) return this.claimFailed(row.left)
		this.adopt(row.right)
		const drawnBefore = this.row.boxes[box]
		const { mark, readAt } = found.right
		const spent = spentAtMost(drawnBefore, mark, readAt)
		const next = planClaim(this.row, { box, holder, address, spent })
		const result = await store.write(key, encode(next), this.revision)
		if (E.isLeft(result)) return this.claimFailed(result.left)
		// Another box wrote first, or a write of ours whose answer was lost: claiming again does no harm.
		if (result.right.kind === 'conflict') {
			await this.options.sleep(this.options.random() * CLAIM_CONFLICT_PAUSE_MS)
			return this.claimOnce()
		}
		this.noteWritten(next, result.right.revision)
		this.book = new AllowanceBook(spent)
		this.options.log({
			name: 'allowance-claimed',
			fields: {
				holder,
				revision: this.revision,
				promise: mark?.holder ?? '',
				promiseAgeMs: Math.round(readAt - (mark?.wallTime ?? 0)),
				drawnBefore: sum(drawnBefore?.drawn),
				spentBefore: sum(spent),
			},
		})
		void this.draw()
		return true
	}

	/** The promise of the earlier incarnation, read once: a later look would find its lease over. */
	private async findPromise(): Promise<E.Either<StoreFault, FoundPromise>> {
		if (this.found) return E.right(this.found)
		const read = await this.promise.readPrevious()
		if (E.isLeft(read)) return read
		this.found = { mark: read.right, readAt: this.options.wallTime() }
		return E.right(this.found)
	}

	private claimFailed(fault: StoreFault): false {
		this.noteFault(fault)
		return false
	}

	private async refresh(): Promise<void> {
		const result = await this.options.store.readStale(this.options.key)
		this.rowAt = this.options.now()
		if (E.isLeft(result)) {
			this.noteFault(result.left)
			return
		}
		this.reached = true
		if (result.right && result.right.revision > this.revision) this.adopt(result.right)
	}

	private needsDraw(): boolean {
		const boxes = this.boxes
		return this.views().some((view) => {
			if (view.frozen) return true
			const undrawn = this.undrawn(view)
			const wanted = wantedTokens(view, undrawn + view.held, boxes)
			if (view.held > wanted * HIGH_PART + HIGH_TOKENS) return true
			return undrawn > wanted * CRUMB_PART && view.held < wanted * LOW_PART
		})
	}

	private needsMark(): boolean {
		return this.promise.isOld || this.views().some((view) => isMarkOff(view, this.markOf(view)))
	}

	private markOf(view: AllowanceView): number {
		return nextMark(view, this.undrawn(view), this.boxes)
	}

	private undrawn(view: AllowanceView): number {
		const others = drawnByOthers(this.row, view.account, this.options.box)
		return Math.max(0, (this.budgets.tokens[view.account] ?? 0) - others - view.drawn)
	}

	private isSpent(account: AccountName, tokens: number): boolean {
		const budget = this.budgets.tokens[account]
		if (budget === undefined || this.row.budgetsAt > this.budgets.at) return false
		return surelySpent(this.row, account) + tokens > budget
	}

	/** Draws for all accounts at once; one draw at a time. */
	private async draw(): Promise<void> {
		if (!this.claimed || this.closed) return
		if (this.drawing) {
			this.drawAgain = true
			return
		}
		this.drawing = true
		do {
			this.drawAgain = false
			const served = this.waiters.length
			const fault = await this.replenish()
			if (fault) this.answerWaiters(this.waiters.length)
			else this.answerWaiters(served)
		} while (this.drawAgain && this.reached)
		this.drawing = false
	}

	/** Draws where that is needed, then raises the ceilings. */
	private async replenish(): Promise<StoreFault | undefined> {
		if (this.needsDraw() || this.waitersLackDraws()) {
			const fault = await this.writeDraw(false)
			if (fault) return fault
		}
		return this.writeMarks()
	}

	private waitersLackDraws(): boolean {
		const waiting = this.waitingTokens()
		return this.views().some((view) => (waiting[view.account] ?? 0) > view.held)
	}

	private waitingTokens(): Record<AccountName, number> {
		const waiting: Record<AccountName, number> = {}
		for (const { account, tokens } of this.waiters)
			waiting[account] = (waiting[account] ?? 0) + tokens
		return waiting
	}

	private async writeMarks(): Promise<StoreFault | undefined> {
		const waiting = this.waitingTokens()
		const marks: Record<AccountName, number> = {}
		for (const view of this.views()) {
			const needed = view.floor + (waiting[view.account] ?? 0)
			marks[view.account] = Math.max(this.markOf(view), Math.min(needed, view.drawn), view.floor)
		}
		for (const [account, mark] of Object.entries<number>(marks))
			this.book?.lowerMark(account as AccountName, mark)
		const result = await this.promise.write(marks)
		this.book?.setPromiseOver(this.promise.isOver)
		if (E.isLeft(result)) {
			this.noteFault(result.left)
			return result.left
		}
		for (const [account, mark] of Object.entries<number>(marks))
			this.book?.confirmMark(account as AccountName, mark)
		this.reached = true
		return undefined
	}

	/** Gives the first `count` waiters their result; those that came later wait for the next draw. */
	private answerWaiters(count: number): void {
		const served = this.waiters.slice(0, count)
		this.waiters = this.waiters.slice(count)
		for (const waiter of served) {
			clearTimeout(waiter.timer)
			if (this.book?.reserve(waiter.account, waiter.tokens)) waiter.resolve('reserved')
			else if (this.isSpent(waiter.account, waiter.tokens)) waiter.resolve('spent')
			else waiter.resolve('unknown')
		}
	}

	private async writeDraw(giveBack: boolean): Promise<StoreFault | undefined> {
		for (let tries = 0; tries < CONFLICT_TRIES; tries++) {
			const next = this.plan(giveBack)
			this.lower(next)
			const { store, key } = this.options
			const result = await store.write(key, encode(next), this.revision)
			if (E.isLeft(result)) {
				this.noteFault(result.left)
				return result.left
			}
			if (result.right.kind === 'written') {
				this.noteWritten(next, result.right.revision)
				this.confirm(next)
				return undefined
			}
			this.adopt(result.right.current)
			await this.options.sleep(this.options.random() * CONFLICT_PAUSE_MS * tries)
		}
		return { kind: 'refused', status: 412 }
	}

	private plan(giveBack: boolean): AllowanceRow {
		const { box, holder, address } = this.options
		return planDraw(this.row, {
			box,
			holder,
			address,
			budgets: this.budgets,
			views: this.views(),
			waiting: this.waitingTokens(),
			giveBack,
		})
	}

	private lower(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next)) this.book?.lower(account, drawn)
	}

	private confirm(next: AllowanceRow): void {
		for (const [account, drawn] of this.ownDraws(next))
			this.book?.confirm(account, drawn, next.budgetsAt)
		this.options.metrics.count('stallwing_draws_total')
		this.options.log({
			name: 'allowance-drawn',
			fields: {
				revision: this.revision,
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

	private noteWritten(row: AllowanceRow, revision: number): void {
		this.row = row
		this.revision = revision
		this.rowAt = this.options.now()
		this.reached = true
	}

	private adopt(item: StoreItem | undefined): void {
		this.row = item ? decode(item.value) : EMPTY_ALLOWANCE_ROW
		this.revision = item?.revision ?? 0
		this.rowAt = this.options.now()
		this.reached = true
	}

	private noteFault(fault: StoreFault): void {
		this.reached = false
		this.faultAt = this.options.now()
		this.options.metrics.count('stallwing_draw_faults_total', `kind="${fault.kind}"`)
		this.options.log({
			name: 'allowance-failed',
			fields: { fault: fault.kind, revision: this.revision },
		})
	}
}

function sum(tokens: Readonly<Record<AccountName, number>> | undefined): number {
	return Object.values<number>(tokens ?? {}).reduce((total, amount) => total + amount, 0)
}

function encode(row: AllowanceRow): Buffer {
	return Buffer.from(JSON.stringify(row))
}

function decode(value: Buffer): AllowanceRow {
	return JSON.parse(value.toString('utf8')) as AllowanceRow
}
