import { fnv1a } from '../fnv1a.js'
import { rendezvousRank } from '../identity/rendezvous.js'
import type { BoxName, TargetName } from '../ids.js'
import type { Millis } from '../units.js'

/** How a rate that holds for all boxes together is divided among them. @public */
export interface RateAllocation {
	/** Boxes that send to the target: the same ones for all, by rendezvous. */
	readonly senders: number
	/** Rate of the token bucket of each of them, in requests a second. */
	readonly perSecond: number
	/** Depth of that bucket, in requests. */
	readonly burst: number
	/**
	 * Senders begin one after the other, so that the target gets single requests at even distances. Otherwise with empty
	 * buckets, so that one that restarts does not spend its burst twice.
	 */
	readonly isSpaced: boolean
}

/** A rate of requests to one target that holds for all boxes together. @public */
export interface FleetRateLimit {
	/** Its division among so many boxes. */
	readonly allocate: (boxes: number) => RateAllocation
	/**
	 * When a box that may not send tries one request, because it has not heard for long whether the rate still holds:
	 * from `dueAt` on, later by a part of `spreadMs` that differs from box to box. Undefined: its end is known beforehand.
	 */
	readonly probe: { readonly dueAt: Millis; readonly jitterMs: Millis } | undefined
}

/** What a {@link FleetRateLimiter} works with. @public */
export interface FleetRateLimiterOptions {
	readonly self: BoxName
	/** The boxes of the fleet: the same array for as long as they stay the same. */
	readonly boxes: () => readonly BoxName[]
	/** True where the other boxes know this one and this one knows them. */
	readonly isSettled: () => boolean
}

/** The part of this box in a rate. @public */
export interface RateLimitShare {
	/** Requests a second; 0 where it is none of the senders. */
	readonly perSecond: number
	/** Requests that it may send now. */
	readonly tokens: number
}

interface TokenBucket {
	/** This box is one of those that send to the target. */
	isSender: boolean
	/** Requests a second of this box; 0 where it is no sender. */
	perSecond: number
	/** The boxes, and the number of senders among them, by which that was found. */
	boxes: readonly BoxName[]
	senders: number
	tokens: number
	refilledAt: Millis
	/** When this box last sent a request. */
	lastSentAt: Millis
}

const SECOND_MS = 1_000
const HASH_RANGE = 2 ** 32

/**
 * Keeps the requests of all boxes to one target below a rate, without a word between boxes for each request: a few of
 * them send there, the same by rendezvous for all, each through a token bucket of its share. Shares divided by all
 * boxes would not do: a bucket holds one request at least, and 75 boxes with one request each are several times what a
 * target in need bears.
 * @public
 */
export class FleetRateLimiter {
	private readonly buckets = new Map<TargetName, TokenBucket>()

	constructor(private readonly options: FleetRateLimiterOptions) {}

	/** True where this box may send the target one more request now. */
	canSend(target: TargetName, rate: FleetRateLimit, now: Millis): boolean {
		return this.options.isSettled() && this.nextSendAt(target, rate, now) <= now
	}

	/** When this box may send the target one more request, as far as is known; Infinity: never. */
	nextSendAt(target: TargetName, rate: FleetRateLimit, now: Millis): Millis {
		const bucket = this.bucket(target, rate, now)
		if (bucket.perSecond === 0) return this.probeAt(target, bucket, rate)
		return now + (Math.max(0, 1 - bucket.tokens) / bucket.perSecond) * SECOND_MS
	}

	/** Counts a request that goes to the target now. */
	consume(target: TargetName, rate: FleetRateLimit, now: Millis): void {
		const bucket = this.bucket(target, rate, now)
		// A trial goes without a token: taken as a debt, trials of minutes would hold back what is named afterwards.
		bucket.tokens = Math.max(0, bucket.tokens - 1)
		bucket.lastSentAt = now
	}

	/** A request that was counted did not leave. */
	refund(target: TargetName): void {
		const bucket = this.buckets.get(target)
		if (bucket) bucket.tokens++
	}

	/** The part of this box in the rate. */
	shareOf(target: TargetName, rate: FleetRateLimit, now: Millis): RateLimitShare {
		const { perSecond, tokens } = this.bucket(target, rate, now)
		return { perSecond, tokens }
	}

	/** The rate no longer holds, or the target is gone. */
	forget(target: TargetName): void {
		this.buckets.delete(target)
	}

	/** The bucket of a target, filled up to now. */
	private bucket(target: TargetName, rate: FleetRateLimit, now: Millis): TokenBucket {
		const bucket = this.buckets.get(target) ?? newBucket(now)
		this.buckets.set(target, bucket)
		const division = rate.allocate(this.options.boxes().length)
		this.updateAllocation(target, bucket, division)
		bucket.perSecond = bucket.isSender ? division.perSecond : 0
		const filled = bucket.tokens + ((now - bucket.refilledAt) / SECOND_MS) * bucket.perSecond
		bucket.tokens = bucket.isSender ? Math.min(division.burst, filled) : 0
		bucket.refilledAt = now
		return bucket
	}

	/** Finds out whether this box is a sender, where the boxes or the number of senders changed. */
	private updateAllocation(
		target: TargetName,
		bucket: TokenBucket,
		division: RateAllocation,
	): void {
		const boxes = this.options.boxes()
		const { isSpaced, senders } = division
		if (bucket.boxes === boxes && bucket.senders === senders) return
		const rank = rendezvousRank(target, this.options.self, boxes, senders)
		if (rank !== undefined && !bucket.isSender && isSpaced) bucket.tokens = 1 - (rank + 1) / senders
		bucket.isSender = rank !== undefined
		bucket.boxes = boxes
		bucket.senders = senders
	}

	/** When a box that may not send tries one request. */
	private probeAt(
		target: TargetName,
		{ lastSentAt: sentAt }: TokenBucket,
		{ probe: trial }: FleetRateLimit,
	): Millis {
		if (!trial) return Infinity
		const part = fnv1a(`${target}\u0000${this.options.self}`) / HASH_RANGE
		return Math.max(trial.dueAt, sentAt) + part * trial.jitterMs
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
