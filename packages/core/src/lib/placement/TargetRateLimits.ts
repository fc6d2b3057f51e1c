import type { ServiceName } from '../ids.js'
import type { Millis } from '../units.js'
import { coldRateLimit, type ColdLimits, type ColdStart } from './coldRateLimit.js'
import {
	FleetRateLimiter,
	type FleetRateLimit,
	type FleetRateLimiterOptions,
} from './FleetRateLimiter.js'
import { advertisedRateLimit } from './advertisedRateLimit.js'
import type { RateLimitStatus } from './RateLimitStatus.js'
import type { TargetEntry } from './TargetEntry.js'
import type { TargetState } from './TargetState.js'

/** Why a rate holds for a target: it is cold, or it named one in its answers. */
export type RateLimitKind = 'cold' | 'named'

/** What {@link TargetRateLimits} works with. @public */
export interface TargetRateLimitsOptions extends FleetRateLimiterOptions {
	/** What the fleet may send to a cold target. */
	readonly coldLimits: ColdLimits
}

const RATE_LIMIT_KINDS: readonly RateLimitKind[] = ['cold', 'named']

/** The rates that hold for targets, for all boxes together: of cold ones, and those that targets name. */
export class TargetRateLimits {
	private readonly limiters: Readonly<Record<RateLimitKind, FleetRateLimiter>>

	constructor(
		private readonly options: TargetRateLimitsOptions,
		/** How the targets of a service bear requests after a start; undefined where they bear all at once. */
		private readonly coldStartOf: (service: ServiceName) => ColdStart | undefined,
	) {
		this.limiters = { cold: new FleetRateLimiter(options), named: new FleetRateLimiter(options) }
	}

	/** True where each rate that holds lets one more request by. Those for which it is counted already are not asked. */
	allowsRequest(target: TargetState, now: Millis, counted: readonly RateLimitKind[] = []): boolean {
		return RATE_LIMIT_KINDS.every(
			(kind) => counted.includes(kind) || this.canSend(kind, target, now),
		)
	}

	/** Counts a request that goes to the target now for each rate that holds, once. */
	countRequest(target: TargetState, now: Millis, counted: RateLimitKind[]): void {
		for (const kind of RATE_LIMIT_KINDS) {
			const rate = this.limitOf(kind, target, now)
			if (!rate || counted.includes(kind)) continue
			this.limiters[kind].consume(target.entry.name, rate, now)
			counted.push(kind)
		}
	}

	/** A request that was counted did not leave: what it was counted for is free again, once. */
	refund({ name }: TargetEntry, counted: RateLimitKind[]): void {
		for (const kind of counted.splice(0)) this.limiters[kind].refund(name)
	}

	/** When the rate that a target named lets one more request by; -Infinity where it named none. */
	nextSendAt(target: TargetState, now: Millis): Millis {
		const rate = this.limitOf('named', target, now)
		if (!rate) return Number.NEGATIVE_INFINITY
		return this.limiters.named.nextSendAt(target.entry.name, rate, now)
	}

	/** The rate that a target named, for operators; undefined where it named none. */
	statusOf(target: TargetState, now: Millis): RateLimitStatus | undefined {
		const rate = this.limitOf('named', target, now)
		const said = target.notice.rate
		if (!rate || !said) return undefined
		const { name } = target.entry
		return {
			target: name,
			perSecond: said.perSecond,
			ageMs: now - said.saidAt,
			share: this.limiters.named.shareOf(name, rate, now),
		}
	}

	/** The target named no rate any more. */
	forgetAdvertised({ name }: TargetEntry): void {
		this.limiters.named.forget(name)
	}

	/** The target is gone, or started again. */
	forget({ name }: TargetEntry): void {
		for (const kind of RATE_LIMIT_KINDS) this.limiters[kind].forget(name)
	}

	private canSend(kind: RateLimitKind, target: TargetState, now: Millis): boolean {
		const rate = this.limitOf(kind, target, now)
		return !rate || this.limiters[kind].canSend(target.entry.name, rate, now)
	}

	/** Undefined where none of this kind holds. */
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
