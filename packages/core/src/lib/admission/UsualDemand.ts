import type { Millis } from '../units.js'
import { DecayingSum } from './DecayingSum.js'

/** Time over which the usual demand of an account is averaged. Demand that lasts becomes usual within minutes. */
const USUAL_DEMAND_MS: Millis = 60_000
/**
 * Recent demand is left out of the usual demand, so that a burst does not raise the weight of the account that causes it.
 * Demand is collected in periods of this length, and counts after {@link EXCLUDED_PERIODS} of them: 10 to 15 s later.
 */
const PERIOD_MS: Millis = 5_000
const EXCLUDED_PERIODS = 3
/** Weight of an account without usual demand, as a fraction of the mean weight. Lets a new account in. */
const NEW_ACCOUNT_WEIGHT = 0.25
/** Time over which the recent demand of an account is averaged. */
const RECENT_MS: Millis = 3_000
/**
 * An account counts as bringing more than usual from this multiple of its usual demand and a number of requests more. Few
 * requests more are often chance: at one box of a large fleet, an account may bring less than one request a second.
 */
const EXCESS_FACTOR = 1.5
const MIN_EXCESS_REQUESTS = 3
/** Recent work below which an account counts as idle. */
const MIN_RECENT_MS: Millis = 1
const EXCESS_MAX_AGE_MS: Millis = 100
/** Accounts whose demand is kept. The one with the least demand is dropped first. */
const MAX_ACCOUNTS = 1_000

/** Requests that arrived within some seconds. */
interface Period {
	readonly byAccount: Map<string, Millis>
	workMs: Millis
	requests: number
}

/** Accounts that bring more than usual. */
export interface Excess {
	readonly accounts: ReadonlySet<string>
	/** Fraction of the recent work of all accounts that is more than usual. */
	readonly fraction: number
}

/**
 * Learns how much work each account usually brings, in multiples of the mean work of the requests of that time: while targets
 * are slow, all requests take longer, and no account brings more because of that. Weights in proportion to it protect accounts at their usual rate,
 * large or small, from one that brings more than usual. Until the first periods have passed, all weights are equal.
 */
export class UsualDemand {
	private readonly byAccount = new Map<string, DecayingSum>()
	private readonly total = new DecayingSum(USUAL_DEMAND_MS)
	/** Demand in the last periods; the current one last. */
	private readonly periods: Period[] = [newPeriod()]
	private periodEndsAt: Millis | undefined
	/** Time that the usual demand covers. */
	private coveredMs: Millis = 0
	/** Work of the last seconds by account. Entries of idle accounts are dropped with each period. */
	private readonly recent = new Map<string, DecayingSum>()
	/** All requests of the last seconds, and their work. */
	private readonly recentRequests = new DecayingSum(RECENT_MS)
	private readonly recentWork = new DecayingSum(RECENT_MS)
	private excess: Excess = { accounts: new Set(), fraction: 0 }
	private excessAt: Millis = Number.NEGATIVE_INFINITY
	/** Recent results of {@link weightOf}: it is called for many accounts in each decision. */
	private readonly weights = new Map<string, number>()

	note(account: string, workMs: Millis, now: Millis): void {
		this.closePeriods(now)
		const period = this.periods.at(-1)
		if (period) {
			period.workMs += workMs
			period.requests++
			period.byAccount.set(account, (period.byAccount.get(account) ?? 0) + workMs)
		}
		this.recentRequests.add(1, now)
		this.recentWork.add(workMs, now)
		let recent = this.recent.get(account)
		if (!recent) this.recent.set(account, (recent = new DecayingSum(RECENT_MS)))
		recent.add(workMs, now)
	}

	/** Accounts that bring more than usual, and the fraction of the recent work that is their surplus. */
	excessOf(now: Millis): Excess {
		// Until the usual demand is known, no account counts as bringing more.
		if (this.coveredMs === 0) return this.excess
		if (now - this.excessAt >= EXCESS_MAX_AGE_MS) {
			this.excessAt = now
			this.excess = this.computeExcess(now)
		}
		return this.excess
	}

	/** Weight of the account, relative to a mean of about 1. */
	weightOf(account: string, now: Millis): number {
		this.closePeriods(now)
		let weight = this.weights.get(account)
		if (weight === undefined) {
			weight = this.computeWeight(account, now)
			this.weights.set(account, weight)
		}
		return weight
	}

	/** Usual work of all accounts, in ms per ms. */
	perMs(now: Millis): number {
		if (this.coveredMs === 0) return 0
		return (this.total.perMs(now) / this.coverage) * this.requestMs(now)
	}

	private computeWeight(account: string, now: Millis): number {
		const mean = this.total.value(now) / Math.max(1, this.byAccount.size)
		if (mean <= 0) return 1
		return NEW_ACCOUNT_WEIGHT + (this.byAccount.get(account)?.value(now) ?? 0) / mean
	}

	private computeExcess(now: Millis): Excess {
		const accounts = new Set<string>()
		const requestMs = Math.max(Number.MIN_VALUE, this.requestMs(now))
		let total = 0
		let excess = 0
		for (const [account, recent] of this.recent) {
			const demand = recent.value(now) / requestMs
			const usual = (RECENT_MS * (this.byAccount.get(account)?.perMs(now) ?? 0)) / this.coverage
			total += demand
			if (demand < EXCESS_FACTOR * usual + MIN_EXCESS_REQUESTS) continue
			accounts.add(account)
			excess += demand - usual
		}
		const fraction = total > 0 ? excess / total : 0
		return { accounts, fraction }
	}

	/** Mean work of the last requests. */
	private requestMs(now: Millis): Millis {
		const requests = this.recentRequests.value(now)
		return requests > 0 ? this.recentWork.value(now) / requests : 0
	}

	/** Fraction of its final value that a decaying sum has reached in the covered time. */
	private get coverage(): number {
		return 1 - Math.exp(-this.coveredMs / USUAL_DEMAND_MS)
	}

	private closePeriods(now: Millis): void {
		this.periodEndsAt ??= now + PERIOD_MS
		if (now < this.periodEndsAt) return
		this.weights.clear()
		for (const [account, recent] of this.recent)
			if (recent.value(now) < MIN_RECENT_MS) this.recent.delete(account)
		while (this.periodEndsAt <= now && this.periods.some(({ requests }) => requests > 0)) {
			this.periodEndsAt += PERIOD_MS
			this.periods.push(newPeriod())
			if (this.periods.length <= EXCLUDED_PERIODS) continue
			this.addPeriod(this.periods.shift() ?? newPeriod(), now)
			this.coveredMs += PERIOD_MS
		}
		this.periodEndsAt = Math.max(this.periodEndsAt, now + PERIOD_MS)
	}

	private addPeriod({ byAccount, requests, workMs }: Period, now: Millis): void {
		if (workMs === 0) return
		const requestMs = workMs / requests
		for (const [account, accountMs] of byAccount) this.add(account, accountMs / requestMs, now)
	}

	private add(account: string, amount: number, now: Millis): void {
		let demand = this.byAccount.get(account)
		if (!demand) {
			if (this.byAccount.size >= MAX_ACCOUNTS) this.dropLeast(now)
			demand = new DecayingSum(USUAL_DEMAND_MS)
			this.byAccount.set(account, demand)
		}
		demand.add(amount, now)
		this.total.add(amount, now)
	}

	private dropLeast(now: Millis): void {
		let least: string | undefined
		let leastDemand = Infinity
		for (const [account, demand] of this.byAccount) {
			const value = demand.value(now)
			if (value >= leastDemand) continue
			least = account
			leastDemand = value
		}
		if (least !== undefined) this.byAccount.delete(least)
	}
}

function newPeriod(): Period {
	return { byAccount: new Map(), workMs: 0, requests: 0 }
}
