import { fnv1a } from '../fnv1a.js'
import { rendezvousRank } from '../identity/rendezvous.js'
import type { BoxName, TargetName } from '../ids.js'
import type { Millis } from '../units.js'

/** Allocation of a fleet-wide rate limit to the boxes that send. @public */
export interface RateAllocation {
	/** Number of boxes that send to the target; rendezvous hashing selects them. */
	readonly senders: number
	/** Refill rate of each sender's token bucket, in requests per second. */
	readonly perSecond: number
	/** Capacity of each sender's token bucket, in requests. */
	readonly burst: number
	/**
	 * True: senders start with staggered fill levels, so that their requests reach the target evenly spaced. False: they
	 * start with empty buckets, so that a restarted box does not send its burst twice.
	 */
	readonly isStaggered: boolean
}

/** A rate limit for the requests of all boxes together to one target. @public */
export interface FleetRateLimit {
	/** Allocates the limit to a fleet of this many boxes. */
	readonly allocate: (boxes: number) => RateAllocation
	/**
	 * When a box without a share sends a single request to find out whether the limit still applies: at `dueAt` plus a
	 * delay of up to `jitterMs` that differs between boxes. Undefined if boxes know the end of the limit in advance.
	 */
	readonly probe: { readonly dueAt: Millis; readonly jitterMs: Millis } | undefined
}

/** @public */
export interface FleetRateLimiterOptions {
	readonly self: BoxName
	/** All boxes of the fleet. Returns the same array instance until the boxes change. */
	readonly boxes: () => readonly BoxName[]
	/** True once this box and the other boxes know each other; nothing is sent before. */
	readonly isSettled: () => boolean
}

/** Share of this box in a fleet-wide rate limit. @public */
export interface RateLimitShare {
	/** Requests per second; 0 if this box is not a sender. */
	readonly perSecond: number
	/** Requests that this box may send now. */
	readonly tokens: number
}

interface TokenBucket {
	isSender: boolean
	/** Refill rate in requests per second; 0 if this box is not a sender. */
	perSecond: number
	/** Boxes and number of senders from which `isSender` was computed. */
	boxes: readonly BoxName[]
	senders: number
	tokens: number
	refilledAt: Millis
	lastSentAt: Millis
}

const SECOND_MS = 1_000
const HASH_RANGE = 2 ** 32

/**
 * Limits the rate of requests of all boxes together to one target without coordination per request. Rendezvous hashing
 * selects a few boxes, the same on every box, and each of them sends through a token bucket with its share. The limit is
 * not divided among all boxes, because each bucket holds at least one request, and one request from each of 75 boxes at
 * once is several times what an overloaded target can take.
 * @public
 */
export class FleetRateLimiter {
	private readonly buckets = new Map<TargetName, TokenBucket>()

	constructor(private readonly options: FleetRateLimiterOptions) {}

	/** True if this box may send the target another request now. */
	canSend(target: TargetName, limit: FleetRateLimit, now: Millis): boolean {
		return this.options.isSettled() && this.nextSendAt(target, limit, now) <= now
	}

	/** When this box may send the target its next request; Infinity if never under this limit. */
	nextSendAt(target: TargetName, limit: FleetRateLimit, now: Millis): Millis {
		const bucket = this.bucket(target, limit, now)
		if (bucket.perSecond === 0) return this.probeAt(target, bucket, limit)
		return now + (Math.max(0, 1 - bucket.tokens) / bucket.perSecond) * SECOND_MS
	}

	/** Counts a request that is sent to the target now. */
	consume(target: TargetName, limit: FleetRateLimit, now: Millis): void {
		const bucket = this.bucket(target, limit, now)
		// Probes are sent without a token. A negative balance from probes would delay requests under the next limit.
		bucket.tokens = Math.max(0, bucket.tokens - 1)
		bucket.lastSentAt = now
	}

	/** Reverts the count of a request that was not sent. */
	refund(target: TargetName): void {
		const bucket = this.buckets.get(target)
		if (bucket) bucket.tokens++
	}

	shareOf(target: TargetName, limit: FleetRateLimit, now: Millis): RateLimitShare {
		const { perSecond, tokens } = this.bucket(target, limit, now)
		return { perSecond, tokens }
	}

	/** Deletes the bucket of a target that was removed or has no limit any longer. */
	forget(target: TargetName): void {
		this.buckets.delete(target)
	}

	/** The bucket of a target, refilled up to now. */
	private bucket(target: TargetName, limit: FleetRateLimit, now: Millis): TokenBucket {
		const bucket = this.buckets.get(target) ?? newBucket(now)
		this.buckets.set(target, bucket)
		const allocation = limit.allocate(this.options.boxes().length)
		this.updateAllocation(target, bucket, allocation)
		bucket.perSecond = bucket.isSender ? allocation.perSecond : 0
		const refilled = bucket.tokens + ((now - bucket.refilledAt) / SECOND_MS) * bucket.perSecond
		bucket.tokens = bucket.isSender ? Math.min(allocation.burst, refilled) : 0
		bucket.refilledAt = now
		return bucket
	}

	/** Recomputes whether this box is a sender if the boxes or the number of senders changed. */
	private updateAllocation(
		target: TargetName,
		bucket: TokenBucket,
		allocation: RateAllocation,
	): void {
		const boxes = this.options.boxes()
		const { isStaggered, senders } = allocation
		if (bucket.boxes === boxes && bucket.senders === senders) return
		const rank = rendezvousRank(target, this.options.self, boxes, senders)
		if (rank !== undefined && !bucket.isSender && isStaggered)
			bucket.tokens = 1 - (rank + 1) / senders
		bucket.isSender = rank !== undefined
		bucket.boxes = boxes
		bucket.senders = senders
	}

	/** When a box without a share may send a probe; Infinity if the limit allows none. */
	private probeAt(
		target: TargetName,
		{ lastSentAt }: TokenBucket,
		{ probe }: FleetRateLimit,
	): Millis {
		if (!probe) return Infinity
		const fraction = fnv1a(`${target}\u0000${this.options.self}`) / HASH_RANGE
		return Math.max(probe.dueAt, lastSentAt) + fraction * probe.jitterMs
	}
}

function newBucket(now: Millis): TokenBucket {
	return {
		isSender: false,
		perSecond: 0,
		boxes: [],
		senders: 0,
		tokens: 0,
		refilledAt: now,
		lastSentAt: Number.NEGATIVE_INFINITY,
	}
}
