import type { Millis } from '../units.js'
import { DecayingSum } from './DecayingSum.js'

/**
 * Time over which the usual demand of an account is averaged. Bursts take seconds, so they hardly raise it; demand that
 * lasts becomes usual within a few minutes.
 */
const USUAL_DEMAND_MS: Millis = 60_000
/** Weight of an account without usual demand, as a fraction of the mean weight. Lets a new account in. */
const NEW_ACCOUNT_WEIGHT = 0.25
/** Time for which a weight is kept; weights change slowly. */
const WEIGHT_MAX_AGE_MS: Millis = 250
/** Accounts whose demand is kept. The one with the least demand is dropped first. */
const MAX_ACCOUNTS = 1_000

/**
 * Learns how much work each account usually brings. Weights in proportion to it protect accounts at their usual rate,
 * large or small, from one that brings more than usual.
 */
export class UsualDemand {
	private readonly byAccount = new Map<string, DecayingSum>()
	/** Recent results of {@link weightOf}: it is called for many accounts in each decision. */
	private readonly weights = new Map<string, number>()
	private weightsAt: Millis = Number.NEGATIVE_INFINITY
	private readonly total = new DecayingSum(USUAL_DEMAND_MS)

	note(account: string, workMs: Millis, now: Millis): void {
		let demand = this.byAccount.get(account)
		if (!demand) {
			if (this.byAccount.size >= MAX_ACCOUNTS) this.dropLeast(now)
			demand = new DecayingSum(USUAL_DEMAND_MS)
			this.byAccount.set(account, demand)
		}
		demand.add(workMs, now)
		this.total.add(workMs, now)
	}

	/** Weight of the account, relative to a mean of about 1. */
	weightOf(account: string, now: Millis): number {
		if (now - this.weightsAt >= WEIGHT_MAX_AGE_MS) {
			this.weights.clear()
			this.weightsAt = now
		}
		let weight = this.weights.get(account)
		if (weight === undefined) {
			weight = this.computeWeight(account, now)
			this.weights.set(account, weight)
		}
		return weight
	}

	private computeWeight(account: string, now: Millis): number {
		const mean = this.total.value(now) / Math.max(1, this.byAccount.size)
		if (mean <= 0) return 1
		return NEW_ACCOUNT_WEIGHT + (this.byAccount.get(account)?.value(now) ?? 0) / mean
	}

	/** Usual work of all accounts, in ms per ms. */
	perMs(now: Millis): number {
		return this.total.perMs(now)
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
