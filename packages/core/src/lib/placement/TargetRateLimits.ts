import type { ServiceName } from '../ids.js'
import type { Millis } from '../units.js'
import { coldRateLimit, type ColdLimits, type ColdStart } from './coldRateLimit.js'
import {
	FleetRateLimiter,
	type FleetRateLimit,
	type FleetRateLimiterOptions,
} from './FleetRateLimiter.js'
import { advertisedRateLimit } from './advertisedRateLimit.js'
import type { RateLimitKind } from './RateLimitKind.js'
import type { RateLimitStatus } from './RateLimitStatus.js'
import type { TargetEntry } from './TargetEntry.js'
import type { TargetState } from './TargetState.js'

/** @public */
export interface TargetRateLimitsOptions extends FleetRateLimiterOptions {
	/** How far the fleet may exceed the rate of a cold target. */
	readonly coldLimits: ColdLimits
}

const RATE_LIMIT_KINDS: readonly RateLimitKind[] = ['cold', 'named']

/** Enforces the fleet-wide rate limits of targets: those of cold targets and those that targets advertise. */
export class TargetRateLimits {
	private readonly limiters: Readonly<Record<RateLimitKind, FleetRateLimiter>>

	constructor(
		private readonly options: TargetRateLimitsOptions,
		/** Undefined for a service whose targets have no cold phase. */
		private readonly coldStartOf: (service: ServiceName) => ColdStart | undefined,
	) {
		this.limiters = { cold: new FleetRateLimiter(options), named: new FleetRateLimiter(options) }
	}

	/** True if each rate limit of the target, except those in `counted`, allows another request. */
	allowsRequest(target: TargetState, now: Millis, counted: readonly RateLimitKind[] = []): boolean {
		return RATE_LIMIT_KINDS.every(
			(kind) => counted.includes(kind) || this.canSend(kind, target, now),
		)
	}

	/** Counts a request against each rate limit of the target that is not in `counted`, and adds these to `counted`. */
	countRequest(target: TargetState, now: Millis, counted: RateLimitKind[]): void {
		for (const kind of RATE_LIMIT_KINDS) {
			const limit = this.limitOf(kind, target, now)
			if (!limit || counted.includes(kind)) continue
			this.limiters[kind].consume(target.entry.name, limit, now)
			counted.push(kind)
		}
	}

	/** Reverts the counts of a request that was not sent, and empties `counted`. */
	refund({ name }: TargetEntry, counted: RateLimitKind[]): void {
		for (const kind of counted.splice(0)) this.limiters[kind].refund(name)
	}

	/** When the advertised limit allows the next request of this box; -Infinity if the target advertises none. */
	nextSendAt(target: TargetState, now: Millis): Millis {
		const limit = this.limitOf('named', target, now)
		if (!limit) return Number.NEGATIVE_INFINITY
		return this.limiters.named.nextSendAt(target.entry.name, limit, now)
	}

	/** The advertised limit with this box's share; undefined if the target advertises none. */
	statusOf(target: TargetState, now: Millis): RateLimitStatus | undefined {
		const limit = this.limitOf('named', target, now)
		const advertised = target.notice.rate
		if (!limit || !advertised) return undefined
		const { name } = target.entry
		return {
			target: name,
			perSecond: advertised.perSecond,
			ageMs: now - advertised.reportedAt,
			share: this.limiters.named.shareOf(name, limit, now),
		}
	}

	/** Resets the limiter of a target that no longer advertises a limit. */
	forgetAdvertised({ name }: TargetEntry): void {
		this.limiters.named.forget(name)
	}

	/** Resets the limiters of a target that was removed or restarted. */
	forget({ name }: TargetEntry): void {
		for (const kind of RATE_LIMIT_KINDS) this.limiters[kind].forget(name)
	}

	private canSend(kind: RateLimitKind, target: TargetState, now: Millis): boolean {
		const limit = this.limitOf(kind, target, now)
		return !limit || this.limiters[kind].canSend(target.entry.name, limit, now)
	}

	/** Undefined if the target has no limit of this kind. */
	private limitOf(
		kind: RateLimitKind,
		target: TargetState,
		now: Millis,
	): FleetRateLimit | undefined {
		if (kind === 'named') return target.notice.rate && advertisedRateLimit(target.notice.rate)
		if (target.coldUntil <= now) return undefined
		const coldStart = this.coldStartOf(target.entry.service)
		return coldStart && coldRateLimit(coldStart, this.options.coldLimits)
	}
}
