import type { ServiceName, ZoneName } from '../ids.js'
import type { Millis } from '../units.js'
import type { ColdStart } from './coldRateLimit.js'
import type { RateLimitStatus } from './RateLimitStatus.js'
import type { TargetEntry } from './TargetEntry.js'
import {
	TargetRateLimits,
	type RateLimitKind,
	type TargetRateLimitsOptions,
} from './TargetRateLimits.js'
import type { TargetState } from './TargetState.js'
import { ZoneCordons, type CordonChanges, type ZoneCordon } from './ZoneCordons.js'

/**
 * Why no target of a service takes new work:
 * - `none`: none is listed, or each is leaving.
 * - `cordoned`: those that are listed lie in cordoned zones.
 * - `backoff`: each that is left asked this box to send nothing for some time, or did until just now.
 * - `rate`: those that are left named a rate, and this box has no share in it left for now.
 * - `cold`: those that this box may use are cold and take no more for now; others may have asked for a backoff.
 * @public
 */
export type ClosedCause = 'none' | 'cordoned' | 'backoff' | 'rate' | 'cold'

/** A service without a target that takes new work. @public */
export interface ClosedService {
	readonly cause: ClosedCause
	/** When the first target takes work again, in ms from now; undefined where nothing tells. */
	readonly opensInMs: Millis | undefined
}

/**
 * Time after the end of a backoff in which a target gets one request of this box after the other, each once the one
 * before is answered, in ms. What was refused meanwhile comes back at the same time, at all boxes: sent there at once it
 * fills the target, which asks for the next backoff, over and over. A fleet of seven boxes that is over its capacity for
 * 3 s then serves 15 in 100 plain requests of a day of 15 s, and 58 with this (`backoffModel.test.ts`); 34 and 53 of
 * long ones.
 */
const DEFAULT_REOPENING_MS: Millis = 1_000

/** Rates that keep a request away, of which its log line tells. */
const MAX_REPORTED_RATE_LIMITS = 3

const SECOND_MS = 1_000

/** What a {@link TargetAdmission} works with. */
export interface AdmissionOptions {
	/** Undefined: rates of cold targets, and those that targets name, do not count. */
	readonly rateLimits?: TargetRateLimitsOptions
	/** See {@link DEFAULT_REOPENING_MS}. */
	readonly reopeningMs?: Millis
}

/**
 * Which targets take new work, whatever it would cost there: not those that leave, lie in a cordoned zone or asked this
 * box for a backoff, and cold ones or those that name a rate no faster than they bear.
 */
export class TargetAdmission {
	private readonly cordons = new ZoneCordons()
	private coldStarts: ReadonlyMap<ServiceName, ColdStart> = new Map()

	private readonly rateLimits: TargetRateLimits | undefined
	private readonly reopeningMs: Millis

	constructor({ rateLimits: rates, reopeningMs = DEFAULT_REOPENING_MS }: AdmissionOptions) {
		this.rateLimits =
			rates && new TargetRateLimits(rates, (service) => this.coldStarts.get(service))
		this.reopeningMs = reopeningMs
	}

	/** Takes how the targets of each service bear requests after a start; others bear all at once. */
	setColdStarts(coldStarts: ReadonlyMap<ServiceName, ColdStart>): void {
		this.coldStarts = coldStarts
	}

	/**
	 * Takes the newest list of cordons. Targets of a zone that was given back are taken as cold at first: they
	 * may have turned cold shortly before, and the word of that may come later.
	 */
	replaceCordons(
		cordons: readonly ZoneCordon[],
		targets: Iterable<TargetState>,
		now: Millis,
	): CordonChanges {
		const changes = this.cordons.replace(cordons, now)
		const reopened = new Set(changes.reopened.map(({ zone }) => zone))
		for (const target of targets) {
			const coldStart = this.coldStarts.get(target.entry.service)
			if (coldStart && reopened.has(target.entry.zone)) target.assumeCold(coldStart.ms, now)
		}
		return changes
	}

	get cordonedZones(): readonly ZoneName[] {
		return this.cordons.zones
	}

	/** Time since this box learned of the cordon of a zone, in ms; undefined where there is none. */
	cordonAgeMs(zone: ZoneName, now: Millis): Millis | undefined {
		return this.cordons.ageMs(zone, now)
	}

	/** True where neither the target nor the operator says otherwise. */
	isInService(target: TargetState): boolean {
		return !target.leaving && !this.cordons.has(target.entry.zone)
	}

	/** True where neither that nor a backoff that the target asked for keeps requests away from it. */
	isOpen(target: TargetState, now: Millis): boolean {
		return this.isInService(target) && target.notice.backoffUntil <= now
	}

	/** A backoff ended shortly before, and the request that shows whether the target takes work again is under way. */
	private isReopening(target: TargetState, now: Millis): boolean {
		return now - target.notice.backoffUntil < this.reopeningMs && target.isAwaitingFirstByte
	}

	/** True where the target takes one more request of this box now. */
	admits(target: TargetState, now: Millis): boolean {
		return (
			this.isOpen(target, now) &&
			!this.isReopening(target, now) &&
			this.isWithinRateLimits(target, now)
		)
	}

	/** True where each rate that holds for the target lets one more request by that is not counted for it yet. */
	isWithinRateLimits(
		target: TargetState,
		now: Millis,
		counted: readonly RateLimitKind[] = [],
	): boolean {
		return this.rateLimits?.allowsRequest(target, now, counted) ?? true
	}

	/** Counts a request that goes to the target now for each rate that holds, once. */
	countRequest(target: TargetState, now: Millis, counted: RateLimitKind[]): void {
		this.rateLimits?.countRequest(target, now, counted)
	}

	/** A request that was counted did not leave. */
	refund({ entry }: TargetState, counted: RateLimitKind[]): void {
		this.rateLimits?.refund(entry, counted)
	}

	/** The rate that a target named, and the part of this box in it; undefined where there is none. */
	rateLimitStatus(target: TargetState, now: Millis): RateLimitStatus | undefined {
		return this.rateLimits?.statusOf(target, now)
	}

	/** Rates that targets named and that keep requests of this box away now, some of them at most. */
	exhaustedRateLimits(targets: readonly TargetState[], now: Millis): readonly RateLimitStatus[] {
		const views: RateLimitStatus[] = []
		for (const target of targets) {
			if (views.length === MAX_REPORTED_RATE_LIMITS) break
			if (!target.notice.rate || !this.isOpen(target, now)) continue
			if (this.isWithinRateLimits(target, now)) continue
			const view = this.rateLimitStatus(target, now)
			if (view) views.push(view)
		}
		return views
	}

	/** The target names no rate any more. */
	forgetAdvertisedLimit(target: TargetEntry): void {
		this.rateLimits?.forgetAdvertised(target)
	}

	/** Forgets a target that is gone, or started again. */
	forget(target: TargetEntry): void {
		this.rateLimits?.forget(target)
	}

	/** Why none of the targets of a service, in zones where a request may run, takes new work; undefined where one does. */
	closedCause(
		targets: readonly TargetState[],
		now: Millis,
		mayRunIn: (zone: ZoneName) => boolean,
	): ClosedService | undefined {
		const isUsable = ({ entry }: TargetState): boolean => mayRunIn(entry.zone)
		if (targets.some((target) => isUsable(target) && this.admits(target, now))) return undefined
		const lasting = targets.filter((target) => isUsable(target) && !target.leaving)
		if (lasting.length === 0) return { cause: 'none', opensInMs: undefined }
		const inService = lasting.filter((target) => this.isInService(target))
		if (inService.length === 0) return { cause: 'cordoned', opensInMs: undefined }
		const opensAt = inService.map((target) => this.opensAt(target, now))
		const opensInMs = Math.min(...opensAt) - now
		return {
			cause: this.closedCauseOf(inService, now),
			opensInMs: Math.min(opensInMs, this.fleetSendIntervalMs(inService, now)),
		}
	}

	/** When a target takes work again, as far as it is known. */
	private opensAt(target: TargetState, now: Millis): Millis {
		const namedAt = this.rateLimits?.nextSendAt(target, now) ?? now
		return Math.max(now, target.coldUntil, target.notice.backoffUntil, namedAt)
	}

	private closedCauseOf(inService: readonly TargetState[], now: Millis): ClosedCause {
		const isBackoff = inService.every(
			(target) => !this.isOpen(target, now) || this.isReopening(target, now),
		)
		if (isBackoff) return 'backoff'
		return this.exhaustedRateLimits(inService, now).length > 0 ? 'rate' : 'cold'
	}

	/**
	 * Time in which some box of the fleet may send to one of the targets again, by the rates that they named, in ms.
	 * Callers who are refused come back on new connections, mostly to other boxes: told to wait for this box's own turn,
	 * 69 in 100 are answered in time where 78 are with this, at 0.8 of what six targets take of seven boxes
	 * (`rateReturnModel.test.ts`). A target in a backoff, or cold, takes no turn before that ends.
	 */
	private fleetSendIntervalMs(targets: readonly TargetState[], now: Millis): Millis {
		let perSecond = 0
		for (const target of targets) {
			if (!this.isOpen(target, now) || target.coldUntil > now) continue
			perSecond += target.notice.rate?.perSecond ?? 0
		}
		return perSecond === 0 ? Infinity : SECOND_MS / perSecond
	}
}
