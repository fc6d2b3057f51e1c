import type { PlaceUse } from '../admission/PlaceUse.js'
import { placeUseOf } from '../admission/placeUseOf.js'
import { rendezvousFirst } from '../identity/rendezvous.js'
import type { BoxName, ServiceName, TargetName, ZoneName } from '../ids.js'
import { maxTotalTokens, type DeclaredWork } from '../traffic/DeclaredWork.js'
import type { Millis } from '../units.js'
import type { AttemptHandle } from './AttemptHandle.js'
import { AttemptSpeed, MIN_EXPECTED_MS } from './AttemptSpeed.js'
import { chooseCandidate } from './chooseCandidate.js'
import type { ColdStart } from './coldRateLimit.js'
import { NoticeRecorder } from './NoticeRecorder.js'
import type { TargetNoticeStatus } from './TargetNoticeStatus.js'
import { targetNoticeStatusOf } from './targetNoticeStatusOf.js'
import type { Placement, PlacementQuery } from './Placement.js'
import type { PlacementRequest } from './placementCost.js'
import { promptPrefixKeys } from './PrefixCacheIndex.js'
import { TargetAdmission, type AdmissionOptions, type ClosedService } from './TargetAdmission.js'
import type { RateLimitStatus } from './RateLimitStatus.js'
import { ServiceLatencies } from './ServiceLatencies.js'
import type { TargetChanges } from './TargetChanges.js'
import type { RateLimitKind } from './RateLimitKind.js'
import { ServiceVersions } from './ServiceVersions.js'
import { versionOf, type TargetEntry } from './TargetEntry.js'
import {
	isEarlierIncarnation,
	incarnationOf,
	type TargetIncarnation,
	type TargetIdentity,
} from './TargetIncarnation.js'
import { TargetSpeeds } from './TargetSpeeds.js'
import { TargetState, type OpenAttempt } from './TargetState.js'
import type { TargetWork } from './TargetWork.js'
import { openWorkOf, recordPeerWork } from './workReports.js'
import type { CordonChanges, ZoneCordon } from './ZoneCordons.js'

/** The state of all targets as this box knows it; chooses the target of each request. @public */
export class TargetRegistry {
	/** Software versions of the listed targets. */
	readonly versions = new ServiceVersions()
	private readonly targets = new Map<TargetName, TargetState>()
	private readonly byService = new Map<ServiceName, TargetState[]>()
	private readonly plainLatencies = new ServiceLatencies()
	private readonly admission: TargetAdmission
	private readonly notices: NoticeRecorder
	/** Speeds of the targets that report their current slowdown. */
	readonly speeds = new TargetSpeeds(this.targets)

	/** Without rate limits, cold targets only cost more and receive requests without limit. */
	constructor(options: AdmissionOptions = {}) {
		this.admission = new TargetAdmission(options)
		this.notices = new NoticeRecorder((target) => this.stateOf(target), this.admission)
	}

	/** Sets the cold-start behaviour of each service. Targets of other services have no cold phase. */
	setColdStarts(coldStarts: ReadonlyMap<ServiceName, ColdStart>): void {
		this.admission.setColdStarts(coldStarts)
	}

	/** Replaces the complete list of cordoned zones. */
	replaceCordons(cordons: readonly ZoneCordon[], now: Millis): CordonChanges {
		return this.admission.replaceCordons(cordons, this.targets.values(), now)
	}

	get cordonedZones(): readonly ZoneName[] {
		return this.admission.cordonedZones
	}

	/** Time since this box received the cordon of a zone, in ms; undefined if the zone has none. */
	cordonAgeMs(zone: ZoneName, now: Millis): Millis | undefined {
		return this.admission.cordonAgeMs(zone, now)
	}

	hasTargetIn(zone: ZoneName): boolean {
		return [...this.targets.values()].some((state) => state.entry.zone === zone)
	}

	coldCount(now: Millis): number {
		return [...this.targets.values()].filter((state) => state.coldUntil > now).length
	}

	/** Why no target of the service in an allowed zone accepts requests; undefined if one does. */
	closedCause(
		service: ServiceName,
		now: Millis,
		mayRunIn: PlacementQuery['mayRunIn'] = () => true,
	): ClosedService | undefined {
		const listed = this.byService.get(service) ?? []
		return this.admission.closedCause(listed, now, mayRunIn)
	}

	/** Advertised rate limits of the service that currently block requests of this box, up to a maximum number. */
	exhaustedRateLimits(service: ServiceName, now: Millis): readonly RateLimitStatus[] {
		return this.admission.exhaustedRateLimits(this.byService.get(service) ?? [], now)
	}

	/**
	 * Replaces the complete target list. Targets missing from it receive no new requests. For a restarted target,
	 * `wallTime` decides which of the recent notices came from the new incarnation; without it, none did.
	 */
	replace(entries: readonly TargetEntry[], now: Millis, wallTime?: Millis): TargetChanges {
		const added: TargetEntry[] = []
		const leaving: TargetEntry[] = []
		const restarted: TargetEntry[] = []
		const listed = new Set<TargetName>()
		for (const entry of entries) {
			listed.add(entry.name)
			const known = this.targets.get(entry.name)
			if (known && isEarlierIncarnation(entry, known.entry)) continue
			const isRestart = known !== undefined && incarnationOf(entry) !== incarnationOf(known.entry)
			if (isRestart) {
				restarted.push(known.entry)
				this.admission.forget(known.entry)
				if (wallTime !== undefined && entry.bornAt !== undefined)
					this.notices.noteRestart(known.entry, entry, wallTime - entry.bornAt, now)
			}
			if (!known || isRestart) {
				const notice = this.notices.of(incarnationOf(entry))
				this.targets.set(entry.name, this.speeds.start(new TargetState(entry, now, notice), now))
				added.push(entry)
				continue
			}
			if (entry.leaving && !known.entry.leaving) leaving.push(entry)
			known.noteEntry(entry, now)
		}
		const removed = [...this.targets.values()].filter((state) => !listed.has(state.entry.name))
		for (const { entry } of removed) {
			this.targets.delete(entry.name)
			this.admission.forget(entry)
		}
		this.groupByService()
		this.versions.note(
			[...this.targets.values()].map((state) => state.entry),
			now,
		)
		this.notices.prune(this.targets.values(), now)
		const removedEntries = removed.map((state) => ({ ...state.entry, leaving: state.leaving }))
		return { added, leaving, removed: removedEntries, restarted }
	}

	/** Targets that receive fewer or no requests because of their own notices. */
	noticeStatuses(now: Millis): TargetNoticeStatus[] {
		return [...this.targets.values()].flatMap((state) => {
			return targetNoticeStatusOf(state, this.admission.rateLimitStatus(state, now), now) ?? []
		})
	}

	get size(): number {
		return this.targets.size
	}

	/** Work in flight for each target: that of this box and the recent reports of the boxes selected by `includes`. */
	openWork(includes: (box: BoxName) => boolean, now: Millis): TargetWork[] {
		return openWorkOf(this.targets.values(), includes, now)
	}

	/** Places of the open targets of a service, and their use. */
	placeUse(service: ServiceName, now: Millis, maxPerTarget = Infinity): PlaceUse {
		const open = this.byService.get(service)?.filter((state) => this.admission.isOpen(state, now))
		return placeUseOf(open ?? [], maxPerTarget, now)
	}

	/** Records the complete work report of another box: targets missing from it have no work of that box. */
	notePeerWork(box: BoxName, rows: readonly TargetWork[], now: Millis): void {
		recordPeerWork(this.targets.values(), box, rows, now)
	}

	/** True if this incarnation of the target is listed and not leaving. */
	isAvailable(incarnation: TargetIncarnation, target: TargetName): boolean {
		const state = this.targets.get(target)
		return state !== undefined && !state.leaving && incarnationOf(state.entry) === incarnation
	}

	/** True if the list shows this incarnation as not leaving, regardless of the target's own notices. */
	isListedAsReady(target: TargetIdentity): boolean {
		return this.stateOf(target)?.entry.leaving === false
	}

	/** The state of a target; undefined unless this incarnation is the listed one. */
	private stateOf(target: TargetIdentity): TargetState | undefined {
		const state = this.targets.get(target.name)
		return state && incarnationOf(state.entry) === incarnationOf(target) ? state : undefined
	}

	/** The listed target if it may receive requests; undefined if it is leaving or not listed. */
	availableTarget(name: TargetName): TargetEntry | undefined {
		const state = this.targets.get(name)
		return state && !state.leaving ? state.entry : undefined
	}

	/** The listed target, also if it is leaving. */
	listedTarget(name: TargetName): TargetEntry | undefined {
		return this.targets.get(name)?.entry
	}

	/** The targets of a service that are not leaving. */
	targetsOf(service: ServiceName): readonly TargetEntry[] {
		const listed = this.byService.get(service) ?? []
		return listed.filter((state) => !state.leaving).map((state) => state.entry)
	}

	/** Services with listed targets. */
	get services(): readonly ServiceName[] {
		return [...this.byService.keys()]
	}

	/** Ends the ejections of the targets of a service: the connections failed because of this box, not of the targets. */
	forgetFailedConnections(service: ServiceName): void {
		for (const state of this.byService.get(service) ?? []) state.endEjection()
	}

	serviceOf(target: TargetName): ServiceName | undefined {
		return this.targets.get(target)?.entry.service
	}

	/** Chooses the target with the lowest cost; undefined if none accepts the request. */
	choose(query: PlacementQuery, now: Millis): Placement | undefined {
		const listed = this.byService.get(query.service) ?? []
		const candidates = this.candidates(listed, query, now)
		const request = this.placementRequest(query, listed, candidates, now)
		const best = chooseCandidate(candidates, request, query.random, now)
		if (!best) return undefined
		return {
			target: best.state.entry,
			cost: best.cost,
			candidates: candidates.length,
			loadAgeMs: best.state.load ? Math.round(now - best.state.loadReportedAt) : -1,
		}
	}

	/** Targets that accept the request. Ejected and quiet targets are included only if there are no others. */
	private candidates(
		listed: readonly TargetState[],
		query: PlacementQuery,
		now: Millis,
	): readonly TargetState[] {
		const healthy: TargetState[] = []
		const doubtful: TargetState[] = []
		const { aliveSince = Number.NEGATIVE_INFINITY } = query
		for (const state of listed) {
			if (!this.isOpen(state, query, now)) continue
			if (state.isEjected(now) || state.isQuietSince(aliveSince)) doubtful.push(state)
			else healthy.push(state)
		}
		return healthy.length > 0 ? healthy : doubtful
	}

	/** Starts an attempt at the chosen target. */
	beginAttempt(placement: Placement, work: DeclaredWork | undefined, now: Millis): AttemptHandle {
		const state = this.targets.get(placement.target.name)
		const countedLimits: RateLimitKind[] = []
		if (state) this.admission.countRequest(state, now, countedLimits)
		const attempt: OpenAttempt = {
			sentAt: now,
			expectedMs: placement.cost.expectedMs,
			prefillTokens: placement.cost.prefillTokens,
			countedLimits,
			hasFirstByte: false,
		}
		state?.openAttempts.add(attempt)
		if (work) state?.prefixCache.record(promptPrefixKeys(work.parts))
		return this.createHandle(placement, attempt, state)
	}

	private createHandle(
		placement: Placement,
		attempt: OpenAttempt,
		state: TargetState | undefined,
	): AttemptHandle {
		const service = placement.target.service
		const speed = state && new AttemptSpeed(state, placement.cost, attempt.sentAt)
		return {
			target: placement.target.name,
			expectedMs: attempt.expectedMs,
			maySend: (now) => this.maySend(placement.target, attempt, now),
			noteByte: (now) => {
				if (!state) return
				state.noteByte(now)
				if (attempt.hasFirstByte) return
				attempt.hasFirstByte = true
				speed?.noteFirstByte(now)
				this.noteFirstByte(service, attempt, state, now)
			},
			noteSilent: (silentMs, now) => state?.noteSilent(silentMs, now),
			noteLoad: (load, now) => {
				const isUnreadable = state?.noteLoad(load, now) ?? false
				speed?.noteLoad(now)
				return isUnreadable
			},
			noteCold: (coldMs, now) => state?.noteCold(coldMs, now),
			noteLeaving: (now) => this.notices.noteLeaving(placement.target, now),
			noteBackoff: (ms, now) => this.notices.noteBackoff(placement.target, ms, now),
			noteRate: (perSecond, now) =>
				this.notices.noteResponseRate(placement.target, attempt.sentAt, perSecond, now),
			noteRejectionLimit: (perSecond) =>
				this.admission.rejections?.noteLimit(service, perSecond) ?? false,
			noteUnreadableRate: (text) => this.notices.noteUnreadableRate(placement.target, text),
			noteUnsent: () => {
				if (state && this.stateOf(placement.target) === state)
					this.admission.refund(state, attempt.countedLimits)
			},
			end: (outcome, now) => {
				if (!state?.openAttempts.delete(attempt)) return
				if (outcome === 'full') this.admission.rejections?.noteRejected(state.entry, now)
				speed?.end(outcome, now)
				state.noteOutcome(outcome, now)
			},
		}
	}

	/** Records that a target announced to this or another box that it is leaving. True if this was not known yet. */
	noteLeaving(target: TargetIdentity, now: Millis): boolean {
		return this.notices.noteLeaving(target, now)
	}

	/** See {@link NoticeRecorder.noteRate}. */
	noteRate(target: TargetIdentity, perSecond: number | undefined, reportedAt: Millis): boolean {
		return this.notices.noteRate(target, perSecond, reportedAt)
	}

	private noteFirstByte(
		service: ServiceName,
		attempt: OpenAttempt,
		state: TargetState,
		now: Millis,
	): void {
		const tookMs = now - attempt.sentAt
		state.speed.noteLatency(Math.max(MIN_EXPECTED_MS, attempt.expectedMs), tookMs)
		if (attempt.prefillTokens <= 0) this.plainLatencies.record(service, tookMs)
	}

	private placementRequest(
		query: PlacementQuery,
		listed: readonly TargetState[],
		candidates: readonly TargetState[],
		now: Millis,
	): PlacementRequest {
		const parts = query.work?.parts ?? []
		const prefixKeys = promptPrefixKeys(parts)
		const sharedPrefixKey = prefixKeys.at(-2) ?? prefixKeys.at(-1)
		const names = listed
			.filter((state) => this.admission.isInService(state))
			.map((state) => state.entry.name)
		return {
			zone: query.zone,
			hasIdleConnection: query.hasIdleConnection,
			parts,
			prefixKeys,
			inputTokens: query.work && maxTotalTokens(query.work) > 0 ? query.work.inputTokens : 0,
			plainMs: this.plainLatencies.of(query.service),
			affinityTarget:
				sharedPrefixKey === undefined ? undefined : rendezvousFirst(sharedPrefixKey, names),
			baselineFailureRate: Math.min(...candidates.map((state) => state.failureRate(now))),
		}
	}

	private isOpen(state: TargetState, query: PlacementQuery, now: Millis): boolean {
		const { name, zone } = state.entry
		if (query.tried.has(incarnationOf(state.entry)) || !query.mayRunIn(zone)) return false
		const version = versionOf(state.entry)
		if (query.version !== undefined && version !== query.version) return false
		if (query.excludedVersions?.has(version)) return false
		return this.admission.admits(state, now) && !query.isFull(name)
	}

	/** Repeats the checks whose result may have changed since the target was chosen, such as while a connection opened. */
	private maySend(chosen: TargetEntry, attempt: OpenAttempt, now: Millis): boolean {
		const state = this.stateOf(chosen)
		if (!state || !this.admission.isOpen(state, now)) return false
		if (!this.admission.isWithinRateLimits(state, now, attempt.countedLimits)) return false
		this.admission.countRequest(state, now, attempt.countedLimits)
		return true
	}

	private groupByService(): void {
		this.byService.clear()
		for (const state of this.targets.values()) {
			const group = this.byService.get(state.entry.service)
			if (group) group.push(state)
			else this.byService.set(state.entry.service, [state])
		}
	}
}
