import type { Millis } from '../units.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import { DecayingSum } from './DecayingSum.js'
import { FairQueue, type FairQueueItem } from './FairQueue.js'
import { MIN_RANK_FRACTION } from './minRankFraction.js'
import { UsualDemand } from './UsualDemand.js'

/** A request that waits for a place. @public */
export interface WaitingRequest extends FairQueueItem {
	/** Unique at this box, unlike the id of the request, which a caller may send twice. */
	readonly ticket: number
	readonly request: AdmissionRequest
	readonly since: Millis
}

/** How a {@link ServiceQueue} orders requests; the simpler policies serve for comparison in simulations. @public */
export type QueuePolicy = 'rank-and-fair-share' | 'rank-only'

/** @public */
export interface ServiceQueueOptions {
	readonly maxWaiting: number
	readonly policy?: QueuePolicy
}

/** Result of adding a request to a {@link ServiceQueue}. @public */
export type QueueAddition =
	| { readonly kind: 'queued'; readonly displaced: WaitingRequest | undefined }
	| { readonly kind: 'full' }

/** Time over which the fractions are averaged. Shorter than bursts, which last some seconds. */
const RANK_TRAFFIC_MS: Millis = 1_000

/** The waiting requests and the recent traffic of one rank. */
interface RankState {
	readonly rank: number
	readonly firstAttempts: FairQueue<WaitingRequest>
	/** Served only while no first attempt of the rank waits. */
	readonly retries: FairQueue<WaitingRequest>
	/** Requests that arrived. */
	readonly offered: DecayingSum
	/** Work of the requests that arrived. */
	readonly offeredWork: DecayingSum
	/** Requests that got a place. */
	readonly served: DecayingSum
}

/**
 * Bounded queue of the requests that wait for a place of one service. The most urgent rank goes first, but each rank
 * keeps a minimum share; within a rank, accounts share by weighted fair queueing. @public
 */
export class ServiceQueue {
	/** Most urgent first. */
	private readonly ranks: RankState[] = []
	private readonly byTicket = new Map<number, WaitingRequest>()
	private readonly usualDemand = new UsualDemand()
	private now: Millis = 0

	constructor(private readonly options: ServiceQueueOptions) {}

	get size(): number {
		return this.byTicket.size
	}

	/** Usual work of all accounts at this box, in ms per ms. */
	usualWorkPerMs(now: Millis): number {
		return this.usualDemand.perMs(now)
	}

	/** Records the arrival of a request, whether it waits or not. */
	noteOffered(request: AdmissionRequest, now: Millis): void {
		const state = this.stateOf(request.rank)
		state.offered.add(1, now)
		state.offeredWork.add(request.expectedWorkMs, now)
		if (!request.isEarlyReturn)
			this.usualDemand.note(accountKey(request), request.expectedWorkMs, now)
	}

	/** Records that a request got a place without waiting. */
	noteServed(rank: number, now: Millis): void {
		this.stateOf(rank).served.add(1, now)
	}

	/** Adds a request. If the queue is full, the least urgent one of all, including the new one, does not stay. */
	add(ticket: number, request: AdmissionRequest, isReturning: boolean, now: Millis): QueueAddition {
		this.now = now
		let displaced: WaitingRequest | undefined
		if (this.byTicket.size >= this.options.maxWaiting) {
			displaced = this.displacedBy(request)
			if (!displaced) return { kind: 'full' }
			this.remove(displaced.ticket)
		}
		const waiting: WaitingRequest = {
			ticket,
			account: this.accountOf(request),
			workMs: request.expectedWorkMs,
			isReturning,
			request,
			since: now,
		}
		this.byTicket.set(ticket, waiting)
		this.queueOf(waiting).add(waiting)
		return { kind: 'queued', displaced }
	}

	/** Removes a request that leaves without a place. */
	remove(ticket: number): WaitingRequest | undefined {
		const waiting = this.byTicket.get(ticket)
		if (!waiting) return undefined
		this.byTicket.delete(ticket)
		this.queueOf(waiting).remove(waiting)
		return waiting
	}

	/** The request that {@link take} returns. */
	next(now: Millis, skipsExcess = false): AdmissionRequest | undefined {
		const state = this.rankToServe(now)
		if (skipsExcess) return state?.firstAttempts.first(this.excessAccounts(now))?.request
		return (state?.firstAttempts.first() ?? state?.retries.first())?.request
	}

	/**
	 * Removes the request that gets the next place; with `skipsExcess`, of the first attempts of accounts that bring no more
	 * than usual.
	 */
	take(now: Millis, skipsExcess = false): WaitingRequest | undefined {
		this.now = now
		const state = this.rankToServe(now)
		if (!state) return undefined
		const waiting = skipsExcess
			? state.firstAttempts.take(this.excessAccounts(now))
			: (state.firstAttempts.take() ?? state.retries.take())
		if (!waiting) return undefined
		this.byTicket.delete(waiting.ticket)
		state.served.add(1, now)
		return waiting
	}

	/** True if the account of the request brings more than usual to this box. */
	isExcess({ account }: AdmissionRequest, now: Millis): boolean {
		if (this.options.policy === 'rank-only') return true
		return this.usualDemand.excessOf(now).accounts.has(account ?? '')
	}

	/**
	 * Fraction of the recent work at this box that can wait for a request: what is less urgent, and what other accounts
	 * bring beyond their usual demand.
	 */
	deferrableFraction(request: AdmissionRequest, now: Millis): number {
		const { rank, isEarlyReturn } = request
		if (isEarlyReturn) return 0
		let total = 0
		let lessUrgent = 0
		for (const state of this.ranks) {
			const work = state.offeredWork.value(now)
			total += work
			if (state.rank > rank) lessUrgent += work
		}
		const lessUrgentFraction = total > 0 ? lessUrgent / total : 0
		if (this.isExcess(request, now)) return lessUrgentFraction
		return Math.min(1, lessUrgentFraction + this.usualDemand.excessOf(now).fraction)
	}

	/** Removes all requests for which it is too late to start. */
	takeExpired(now: Millis): WaitingRequest[] {
		const expired: WaitingRequest[] = []
		for (const waiting of this.byTicket.values())
			if (waiting.request.latestStartAt < now) expired.push(waiting)
		for (const { ticket } of expired) this.remove(ticket)
		return expired
	}

	/** Removes all requests. */
	takeAll(): WaitingRequest[] {
		const all = [...this.byTicket.values()]
		for (const { ticket } of all) this.remove(ticket)
		return all
	}

	/**
	 * Time that a new request waits if the box gets `workPerMs` of the places. More urgent ranks go first, with what waits
	 * and what arrives meanwhile, but the rank gets at least its minimum share.
	 */
	waitMs(request: AdmissionRequest, workPerMs: number, now: Millis): Millis {
		this.now = now
		let urgentWaitingMs = 0
		let urgentPerMs = 0
		let totalPerMs = 0
		for (const state of this.ranks) {
			const perMs = state.offeredWork.perMs(now)
			totalPerMs += perMs
			if (state.rank >= request.rank) continue
			urgentWaitingMs += workMsOf(state)
			urgentPerMs += perMs
		}
		const own = this.stateOf(request.rank)
		const account = this.accountOf(request)
		const ownMs = request.isEarlyReturn
			? own.firstAttempts.workMs + own.retries.workAheadOf(account)
			: own.firstAttempts.workAheadOf(account)
		const minShare = (MIN_RANK_FRACTION * own.offeredWork.perMs(now)) / Math.max(1e-9, totalPerMs)
		const byMinShareMs = ownMs / Math.max(1e-9, minShare * workPerMs)
		const leftPerMs = workPerMs - urgentPerMs
		if (leftPerMs <= 0) return byMinShareMs
		return Math.min(byMinShareMs, (urgentWaitingMs + ownMs) / leftPerMs)
	}

	/** Waiting requests by rank. */
	sizesByRank(): ReadonlyMap<number, number> {
		return new Map(
			this.ranks.map(({ rank, firstAttempts, retries }) => [
				rank,
				firstAttempts.size + retries.size,
			]),
		)
	}

	private excessAccounts(now: Millis): ReadonlySet<string> {
		return this.usualDemand.excessOf(now).accounts
	}

	private rankToServe(now: Millis): RankState | undefined {
		let first: RankState | undefined
		let offered = 0
		let served = 0
		for (const state of this.ranks) {
			offered += state.offered.value(now)
			served += state.served.value(now)
			if (!first && sizeOf(state) > 0) first = state
		}
		if (!first || offered === 0) return first
		const minFraction = (MIN_RANK_FRACTION * served) / offered
		for (const state of this.ranks) {
			if (state.rank <= first.rank || sizeOf(state) === 0) continue
			if (state.served.value(now) < minFraction * state.offered.value(now)) return state
		}
		return first
	}

	/** The request that gives way to a new one in a full queue; undefined if the new one is the least urgent. */
	private displacedBy(request: AdmissionRequest): WaitingRequest | undefined {
		const last = this.ranks.findLast((state) => sizeOf(state) > 0)
		if (!last || last.rank < request.rank) return undefined
		const queue = last.retries.size > 0 ? last.retries : last.firstAttempts
		const candidate = queue.leastEntitled()
		if (!candidate || last.rank > request.rank) return candidate
		if (candidate.request.isEarlyReturn !== request.isEarlyReturn)
			return request.isEarlyReturn ? undefined : candidate
		const account = this.accountOf(request)
		const ownMs = queue.weightedWorkMs(account) + request.expectedWorkMs / this.weightOf(account)
		return ownMs < queue.weightedWorkMs(candidate.account) ? candidate : undefined
	}

	private queueOf({ request }: WaitingRequest): FairQueue<WaitingRequest> {
		const state = this.stateOf(request.rank)
		return request.isEarlyReturn ? state.retries : state.firstAttempts
	}

	private stateOf(rank: number): RankState {
		const known = this.ranks.find((state) => state.rank === rank)
		if (known) return known
		const weightOf = (account: string): number => this.weightOf(account)
		const state: RankState = {
			rank,
			firstAttempts: new FairQueue(weightOf),
			retries: new FairQueue(weightOf),
			offered: new DecayingSum(RANK_TRAFFIC_MS),
			offeredWork: new DecayingSum(RANK_TRAFFIC_MS),
			served: new DecayingSum(RANK_TRAFFIC_MS),
		}
		this.ranks.push(state)
		this.ranks.sort((a, b) => a.rank - b.rank)
		return state
	}

	private accountOf(request: AdmissionRequest): string {
		return this.options.policy === 'rank-only' ? '' : accountKey(request)
	}

	private weightOf(account: string): number {
		if (this.options.policy === 'rank-only') return 1
		return this.usualDemand.weightOf(account, this.now)
	}
}

function sizeOf({ firstAttempts, retries }: RankState): number {
	return firstAttempts.size + retries.size
}

function workMsOf({ firstAttempts, retries }: RankState): Millis {
	return firstAttempts.workMs + retries.workMs
}

function accountKey({ account }: AdmissionRequest): string {
	return account ?? ''
}
