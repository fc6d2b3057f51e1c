import type { Millis } from '../units.js'
import { AccountRefusals } from './AccountRefusals.js'
import type {
	AdmissionDecision,
	AdmissionStatus,
	AdmissionStep,
	ServiceAdmissionOptions,
} from './AdmissionDecision.js'
import type {
	AdmissionOutcome,
	AdmissionRefusalReason,
	AdmissionRequest,
} from './AdmissionRequest.js'
import { DecayingSum } from './DecayingSum.js'
import { KnownUse } from './KnownUse.js'
import { PlaceShare, deferrableFraction, type BoxDemand } from './PlaceShare.js'
import type { PlaceUse } from './PlaceUse.js'
import { RefusedRequests } from './RefusedRequests.js'
import { ServiceQueue, type WaitingRequest } from './ServiceQueue.js'
import { StartPredictor } from './StartPredictor.js'

/**
 * Requests that wait at one box for one service. More than any box can start within a latency goal, and small enough that
 * the bodies of waiting requests fit into the memory of a small box.
 */
const MAX_WAITING = 256
/**
 * Work kept at the targets beyond their places, so that a place does not idle until a box sees that it is free. That takes
 * a network round trip, an interval of `advance`, and the age of the reports of the other boxes. The bound keeps the wait
 * at the targets well below the shortest latency goals.
 */
const MIN_SURPLUS_MS: Millis = 8
const MAX_SURPLUS_MS: Millis = 40
/** Shortest time over which a box corrects the use of the places. */
const CORRECTION_MS: Millis = 60
/**
 * Correction time as a multiple of the age of the reports of other boxes. A correction on data of a certain age
 * oscillates unless it takes clearly longer than that age.
 */
const CORRECTION_PER_AGE = 2
/** Time for which the demand of a box is averaged. */
const DEMAND_MS: Millis = 2_000
/**
 * Maximum credit, in requests. A request may start while the credit is positive, so only one starts at once after an idle
 * time.
 */
const MAX_CREDIT = 0.5
/** Requests of the most urgent rank that may start before the credit allows it. */
const MAX_OVERDRAFT = 8
/** Maximum time for which credit accrues between two updates. */
const MAX_CREDIT_MS: Millis = 500
/** Time for which the share of the box is kept before it is computed again. */
const SHARE_MAX_AGE_MS: Millis = 200
/** Most random time added to the time after which a refused caller should return, as a fraction of it. */
const RETURN_JITTER = 0.25
/** Bounds of the time after which a refused caller should return: callers do not return sooner or wait longer. */
const MIN_RETURN_MS: Millis = 100
const MAX_RETURN_MS: Millis = 2_000
/** Avoids a division by zero. */
const MIN_WORK_PER_MS = 1e-6

interface HeldPlace {
	readonly since: Millis
	readonly expectedMs: Millis
}

/**
 * Decides when the requests of one service at one box may be sent to a target. While places are free, every request
 * starts at once. Otherwise requests wait in a {@link ServiceQueue}, and the box starts them at its share of the rate at
 * which places become free. All methods are deterministic; the caller passes the time and the use of the places. @public
 */
export class ServiceAdmission {
	readonly share = new PlaceShare()
	private readonly queue: ServiceQueue
	private readonly predictor = new StartPredictor()
	private readonly refused = new RefusedRequests()
	private readonly held = new Map<number, HeldPlace>()
	private lastTicket = 0
	private readonly demand = new Map<number, DecayingSum>()
	private readonly refusals = new AccountRefusals()
	private readonly use = new KnownUse()
	/** Requests that may start now; each start takes 1, and the overdraft may make it negative. */
	private credit = 0
	private creditAt: Millis = 0
	private lastShare = 1
	private shareAt: Millis = Number.NEGATIVE_INFINITY
	/** Recent results of {@link deferrableInFleet}; negative keys are for accounts that bring more than usual. */
	private readonly deferrable = new Map<number, number>()
	private deferrableAt: Millis = Number.NEGATIVE_INFINITY
	private lastWaitAt: Millis = Number.NEGATIVE_INFINITY
	private isStopped = false

	constructor(private readonly options: ServiceAdmissionOptions) {
		const { policy, maxWaiting = MAX_WAITING } = options
		this.queue = new ServiceQueue(policy ? { maxWaiting, policy } : { maxWaiting })
	}

	get waitingCount(): number {
		return this.queue.size
	}

	/** Time of the last decision at which a request waited. */
	get lastContentionAt(): Millis {
		return this.lastWaitAt
	}

	/** True if at least half of the places are free, or the use of the places is not known. */
	get isUncontended(): boolean {
		return this.queue.size === 0 && (!this.use.isKnown || this.use.inUse * 2 <= this.use.places)
	}

	/** Records the measured use of the places. */
	noteUse(use: PlaceUse): void {
		this.use.set(use)
	}

	enter(request: AdmissionRequest, now: Millis): AdmissionStep {
		const ticket = ++this.lastTicket
		const returnKind = this.refused.kindOf(request.id, now)
		const arrival = returnKind === 'too-early' ? { ...request, isEarlyReturn: true } : request
		this.queue.noteOffered(arrival, now)
		this.noteDemand(arrival, now)
		this.predictor.noteExpected(arrival.expectedWorkMs)
		if (this.isStopped) return { ticket, ...this.refuse(arrival, 'stopping', 0, now) }
		if (this.canPass(now)) return this.admit(ticket, arrival, now)
		this.lastWaitAt = now
		if (this.startsOnCredit(arrival, now)) return this.admit(ticket, arrival, now)
		const waitMs = this.predictWaitMs(arrival, now)
		if (now + waitMs > arrival.latestStartAt)
			return { ticket, ...this.refuse(arrival, 'cannot-start-in-time', waitMs, now) }
		const addition = this.queue.add(ticket, arrival, returnKind === 'as-told', now)
		if (addition.kind === 'full')
			return { ticket, ...this.refuse(arrival, 'queue-full', waitMs, now) }
		const displaced = addition.displaced && this.refuseWaiting(addition.displaced, 'displaced', now)
		return { ticket, outcome: undefined, displaced }
	}

	private admit(ticket: number, request: AdmissionRequest, now: Millis): AdmissionStep {
		this.queue.noteServed(request.rank, now)
		this.hold(ticket, request, now)
		return { ticket, outcome: { kind: 'admitted', waitedMs: 0 }, displaced: undefined }
	}

	/**
	 * Ends a request: frees its place, or removes it from the queue. Returns the time for which it held its place;
	 * undefined if it had none. Further calls do nothing.
	 */
	leave(ticket: number, now: Millis): Millis | undefined {
		const place = this.held.get(ticket)
		if (!place) {
			this.queue.remove(ticket)
			return undefined
		}
		this.held.delete(ticket)
		this.use.noteReleased()
		const heldMs = now - place.since
		this.predictor.noteEnd(heldMs, place.expectedMs, now)
		return heldMs
	}

	/** Starts and refuses waiting requests. Must be called every few ms while requests wait. */
	advance(now: Millis): AdmissionDecision[] {
		if (this.queue.size === 0) return []
		this.lastWaitAt = now
		const decisions = this.queue
			.takeExpired(now)
			.map((waiting) => this.refuseWaiting(waiting, 'cannot-start-in-time', now))
		this.updateCredit(now)
		for (;;) {
			const waiting = this.takeNext(now)
			if (!waiting) break
			this.credit--
			this.hold(waiting.ticket, waiting.request, now)
			const waitedMs = now - waiting.since
			decisions.push({
				ticket: waiting.ticket,
				request: waiting.request,
				outcome: { kind: 'admitted', waitedMs },
				waitedMs,
			})
		}
		return decisions
	}

	/** Refuses all waiting requests, and every later one, because the box stops. */
	stop(now: Millis): AdmissionDecision[] {
		this.isStopped = true
		return this.queue.takeAll().map((waiting) => this.refuseWaiting(waiting, 'stopping', now))
	}

	/** What this box needs of the places, for the other boxes. */
	boxDemand(now: Millis): BoxDemand {
		const ranks = [...this.demand].map(([rank, sum]) => ({ rank, workPerMs: sum.perMs(now) }))
		return { ranks, usualWorkPerMs: this.queue.usualWorkPerMs(now) }
	}

	status(now: Millis): AdmissionStatus {
		return {
			places: this.use.places,
			inUse: this.use.inUse,
			share: this.shareNow(now),
			waiting: this.queue.sizesByRank(),
			heldAccounts: this.refusals.mostRefused(now),
		}
	}

	/** A box that does not know the use lets requests pass: holding them could leave places idle. */
	private canPass(now: Millis): boolean {
		if (!this.use.isKnown) return true
		const used = this.usedPlaces(now)
		if (used * 2 <= this.use.places) return true
		return this.queue.size === 0 && used < this.use.places
	}

	/** Places in use; a box that hears no other box assumes that the others use their shares as it does. */
	private usedPlaces(now: Millis): number {
		if (this.use.peers > 0 || !this.share.hasShare || this.share.hasFreshPeers(now))
			return this.use.inUse
		return Math.max(this.use.inUse, this.use.own / Math.max(0.001, this.shareNow(now)))
	}

	/** True if no request waits and the share of this box allows one more. */
	private startsOnCredit(request: AdmissionRequest, now: Millis): boolean {
		this.updateCredit(now)
		if (this.queue.size > 0 || !this.mayStart(this.overdraftOf(request, now), now)) return false
		this.credit--
		return true
	}

	private takeNext(now: Millis): WaitingRequest | undefined {
		const next = this.queue.next(now)
		if (!next) return undefined
		if (this.mayStart(this.overdraftOf(next, now), now)) return this.queue.take(now)
		if (!this.queue.isExcess(next, now)) return undefined
		// The request of an account that brings more than usual must not hold up those behind it.
		const usual = this.queue.next(now, true)
		if (!usual || !this.mayStart(this.overdraftOf(usual, now), now)) return undefined
		return this.queue.take(now, true)
	}

	/**
	 * Requests that may start before the credit allows it. In a large fleet a box starts few requests a second, so an
	 * urgent one would wait long for the next. Requests that are less urgent, or of an account that brings more than usual,
	 * wait for the credit instead.
	 */
	private overdraftOf(request: AdmissionRequest, now: Millis): number {
		if (request.isEarlyReturn) return 0
		const isExcess = this.queue.isExcess(request, now)
		const inFleet = this.deferrableInFleet(request.rank, isExcess, now)
		return MAX_OVERDRAFT * Math.max(inFleet, this.queue.deferrableFraction(request, now))
	}

	private deferrableInFleet(rank: number, isExcess: boolean, now: Millis): number {
		if (now - this.deferrableAt >= SHARE_MAX_AGE_MS) {
			this.deferrableAt = now
			this.deferrable.clear()
		}
		const key = isExcess ? -1 - rank : rank
		let fraction = this.deferrable.get(key)
		if (fraction === undefined) {
			const demands = this.share.demands(this.boxDemand(now), now)
			fraction = deferrableFraction(demands, rank, isExcess)
			this.deferrable.set(key, fraction)
		}
		return fraction
	}

	private mayStart(overdraft: number, now: Millis): boolean {
		if (!this.use.isKnown) return true
		const used = this.usedPlaces(now)
		if (used * 2 <= this.use.places) return true
		if (this.credit + overdraft <= 0) return false
		// Only a box on its own knows the use exactly. On old reports, a bound would stop boxes that wait for newer ones.
		return this.options.boxCount() > 1 || used < this.use.places + this.surplus(now)
	}

	private shareNow(now: Millis): number {
		if (now - this.shareAt >= SHARE_MAX_AGE_MS) {
			this.shareAt = now
			this.lastShare = this.computeShare(now)
		}
		return this.lastShare
	}

	private computeShare(now: Millis): number {
		if (this.options.boxCount() <= 1) return 1
		const share = this.share.of(
			this.boxDemand(now),
			this.workPerMs(now),
			this.predictor.meanExpectedMs(now),
			now,
		)
		if (share !== undefined) return share
		return 1 / this.options.boxCount()
	}

	/** Work that the targets do while all places are in use, in ms of expected work per ms. */
	private workPerMs(now: Millis): number {
		const { predictor, use } = this
		// The times in place include the wait at the targets, so the requests that wait there count as well.
		const requests = use.places + this.surplus(now)
		return predictor.releasesPerMs(requests, now) * predictor.meanExpectedMs(now)
	}

	/** Rate at which this box may start requests, per ms. */
	private startsPerMs(now: Millis): number {
		const { places } = this.use
		const used = this.usedPlaces(now)
		const surplus = this.surplus(now)
		// Without the bound, requests that hang would count as places that become free.
		const releases = this.predictor.releasesPerMs(Math.min(used, places + surplus), now)
		const correctionMs = Math.max(CORRECTION_MS, CORRECTION_PER_AGE * this.use.ageMs)
		const correction = (places + surplus - used) / correctionMs
		return Math.max(0, releases + correction) * this.shareNow(now)
	}

	/** Requests kept at the targets beyond their places. */
	private surplus(now: Millis): number {
		const surplusMs = Math.min(MAX_SURPLUS_MS, MIN_SURPLUS_MS + this.use.ageMs)
		return this.predictor.releasesPerMs(this.use.places, now) * surplusMs
	}

	private updateCredit(now: Millis): void {
		const elapsedMs = Math.min(MAX_CREDIT_MS, Math.max(0, now - this.creditAt))
		this.creditAt = now
		this.credit = Math.min(MAX_CREDIT, this.credit + elapsedMs * this.startsPerMs(now))
	}

	/** Time until a new request would start. */
	private predictWaitMs(request: AdmissionRequest, now: Millis): Millis {
		const workPerMs = Math.max(MIN_WORK_PER_MS, this.workPerMs(now) * this.shareNow(now))
		const missing = Math.max(0, -this.credit - this.overdraftOf(request, now))
		const nextStartMs = missing * this.predictor.meanExpectedMs(now)
		return nextStartMs / workPerMs + this.queue.waitMs(request, workPerMs, now)
	}

	private hold(ticket: number, request: AdmissionRequest, now: Millis): void {
		this.held.set(ticket, { since: now, expectedMs: request.expectedWorkMs })
		this.use.noteTaken()
	}

	private noteDemand(request: AdmissionRequest, now: Millis): void {
		let sum = this.demand.get(request.rank)
		if (!sum) this.demand.set(request.rank, (sum = new DecayingSum(DEMAND_MS)))
		sum.add(request.expectedWorkMs, now)
	}

	private refuseWaiting(
		waiting: WaitingRequest,
		reason: AdmissionRefusalReason,
		now: Millis,
	): AdmissionDecision {
		const { ticket, request, since } = waiting
		const waitMs = reason === 'stopping' ? 0 : this.predictWaitMs(request, now)
		const outcome = this.refusal(request, reason, waitMs, now)
		return { ticket, request, outcome, waitedMs: now - since }
	}

	private refuse(
		request: AdmissionRequest,
		reason: AdmissionRefusalReason,
		waitMs: Millis,
		now: Millis,
	): Omit<AdmissionStep, 'ticket'> {
		return { outcome: this.refusal(request, reason, waitMs, now), displaced: undefined }
	}

	private refusal(
		request: AdmissionRequest,
		reason: AdmissionRefusalReason,
		waitMs: Millis,
		now: Millis,
	): AdmissionOutcome {
		const jitter = 1 + this.options.random() * RETURN_JITTER
		const availableInMs = Math.min(MAX_RETURN_MS, Math.max(MIN_RETURN_MS, waitMs) * jitter)
		if (reason !== 'stopping') {
			this.refused.note(request.id, now + availableInMs)
			this.refusals.note(request.account ?? '', now)
		}
		return { kind: 'refused', reason, availableInMs }
	}
}
