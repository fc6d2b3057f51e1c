import { rendezvousFirst } from '../identity/rendezvous.js'
import type { BoxName, ServiceName, TargetName, ZoneName } from '../ids.js'
import { maxTotalTokens, type DeclaredWork } from '../traffic/DeclaredWork.js'
import type { Millis } from '../units.js'
import type { AttemptHandle } from './AttemptHandle.js'
import type { ColdStart } from './coldRateLimit.js'
import type { TargetNoticeStatus } from './TargetNoticeStatus.js'
import { targetNoticeStatusOf } from './targetNoticeStatusOf.js'
import type { Placement, PlacementQuery } from './Placement.js'
import {
	isPeerWorkFresh,
	placementCost,
	type PlacementCost,
	type PlacementRequest,
} from './placementCost.js'
import { promptPrefixKeys } from './PrefixCacheIndex.js'
import { TargetAdmission, type AdmissionOptions, type ClosedService } from './TargetAdmission.js'
import type { RateLimitStatus } from './RateLimitStatus.js'
import { ServiceLatencies } from './ServiceLatencies.js'
import type { TargetChanges } from './TargetChanges.js'
import type { RateLimitKind } from './TargetRateLimits.js'
import type { TargetEntry } from './TargetEntry.js'
import {
	isEarlierIncarnation,
	incarnationOf,
	type TargetIncarnation,
	type TargetIdentity,
} from './TargetIncarnation.js'
import { TargetNotices, type TargetNotice } from './TargetNotices.js'
import { TargetState, type OpenAttempt } from './TargetState.js'
import type { TargetWork } from './TargetWork.js'
import type { CordonChanges, ZoneCordon } from './ZoneCordons.js'

/** Times are compared only up to here: a long prompt tells more about a target than a short one. */
const MIN_EXPECTED_MS = 10

/** What this box believes about all targets, and the choice among them. @public */
export class TargetRegistry {
	private readonly targets = new Map<TargetName, TargetState>()
	private readonly byService = new Map<ServiceName, TargetState[]>()
	private readonly plainLatencies = new ServiceLatencies()
	private readonly admission: TargetAdmission
	private readonly notices = new TargetNotices()

	/** Without rates, cold targets are dearer than others and take as much. */
	constructor(options: AdmissionOptions = {}) {
		this.admission = new TargetAdmission(options)
	}

	/** Takes how the targets of each service bear requests after a start; others bear all at once. */
	setColdStarts(coldStarts: ReadonlyMap<ServiceName, ColdStart>): void {
		this.admission.setColdStarts(coldStarts)
	}

	/** Takes the newest list of cordoned zones, whole. */
	replaceCordons(cordons: readonly ZoneCordon[], now: Millis): CordonChanges {
		return this.admission.replaceCordons(cordons, this.targets.values(), now)
	}

	/** The zones that take no new work. */
	get cordonedZones(): readonly ZoneName[] {
		return this.admission.cordonedZones
	}

	/** Time since this box learned of the cordon of a zone, in ms; undefined where there is none. */
	cordonAgeMs(zone: ZoneName, now: Millis): Millis | undefined {
		return this.admission.cordonAgeMs(zone, now)
	}

	/** True where a target lies in the zone. */
	hasTargetIn(zone: ZoneName): boolean {
		return [...this.targets.values()].some((state) => state.entry.zone === zone)
	}

	/** Targets that are cold. */
	coldCount(now: Millis): number {
		return [...this.targets.values()].filter((state) => state.coldUntil > now).length
	}

	/** Why no target of the service, in zones where the request may run, takes new work; undefined where one does. */
	closedCause(
		service: ServiceName,
		now: Millis,
		mayRunIn: PlacementQuery['mayRunIn'] = () => true,
	): ClosedService | undefined {
		const listed = this.byService.get(service) ?? []
		return this.admission.closedCause(listed, now, mayRunIn)
	}

	/** Rates that targets of the service named and that keep requests of this box away now, some of them at most. */
	exhaustedRateLimits(service: ServiceName, now: Millis): readonly RateLimitStatus[] {
		return this.admission.exhaustedRateLimits(this.byService.get(service) ?? [], now)
	}

	/**
	 * Takes the newest list. Targets that are not in it get no new work. The time of day tells which life of a target
	 * that started again said what was heard shortly before; without it, the earlier one.
	 */
	replace(entries: readonly TargetEntry[], now: Millis, wallTime?: Millis): TargetChanges {
		const joined: TargetEntry[] = []
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
				this.targets.set(entry.name, new TargetState(entry, now, notice))
				joined.push(entry)
				continue
			}
			if (entry.leaving && !known.entry.leaving) leaving.push(entry)
			known.noteEntry(entry, now)
		}
		const gone = [...this.targets.values()].filter((state) => !listed.has(state.entry.name))
		for (const { entry } of gone) {
			this.targets.delete(entry.name)
			this.admission.forget(entry)
		}
		this.groupByService()
		this.pruneNotices(now)
		const goneEntries = gone.map((state) => ({ ...state.entry, leaving: state.leaving }))
		return { added: joined, leaving, removed: goneEntries, restarted }
	}

	private pruneNotices(now: Millis): void {
		if (this.notices.isEmpty) return
		const lives = new Set([...this.targets.values()].map(({ entry }) => incarnationOf(entry)))
		this.notices.prune((life) => lives.has(life), now)
	}

	/** Targets that get less work, or none, because of what they said of themselves. */
	noticeStatuses(now: Millis): TargetNoticeStatus[] {
		return [...this.targets.values()].flatMap((state) => {
			return targetNoticeStatusOf(state, this.admission.rateLimitStatus(state, now), now) ?? []
		})
	}

	get size(): number {
		return this.targets.size
	}

	/**
	 * Work under way by target: that of this box, and what it lately heard of the other boxes that are
	 * asked for.
	 */
	openWork(includes: (box: BoxName) => boolean, now: Millis): TargetWork[] {
		const rows: TargetWork[] = []
		for (const state of this.targets.values()) {
			let unreadTokens = 0
			let open = state.openAttempts.size
			for (const attempt of state.openAttempts)
				if (!attempt.hasFirstByte) unreadTokens += attempt.prefillTokens
			for (const [box, work] of state.peerWork) {
				if (!includes(box) || !isPeerWorkFresh(work, now)) continue
				unreadTokens += work.prefillTokens
				open += work.openRequests
			}
			if (open > 0) rows.push({ life: incarnationOf(state.entry), unreadTokens, open })
		}
		return rows
	}

	/** Another box told its work: all of it, so that a target left out has none. */
	notePeerWork(box: BoxName, rows: readonly TargetWork[], now: Millis): void {
		const told = new Map(rows.map((row) => [row.life, row]))
		for (const state of this.targets.values()) {
			const row = told.get(incarnationOf(state.entry))
			if (row)
				state.peerWork.set(box, {
					prefillTokens: row.unreadTokens,
					openRequests: row.open,
					receivedAt: now,
				})
			else state.peerWork.delete(box)
		}
	}

	/** True where this life of the target is listed and does not leave. */
	isAvailable(life: TargetIncarnation, target: TargetName): boolean {
		const state = this.targets.get(target)
		return state !== undefined && !state.leaving && incarnationOf(state.entry) === life
	}

	/** True where the list calls this life of the target ready, whatever it says itself. */
	isListedAsReady(target: TargetIdentity): boolean {
		return this.stateOf(target)?.entry.leaving === false
	}

	/** What is believed of this life of a target, where it is the one that is listed. */
	private stateOf(target: TargetIdentity): TargetState | undefined {
		const state = this.targets.get(target.name)
		return state && incarnationOf(state.entry) === incarnationOf(target) ? state : undefined
	}

	serviceOf(target: TargetName): ServiceName | undefined {
		return this.targets.get(target)?.entry.service
	}

	/** The cheapest place that takes new work, or undefined. */
	choose(query: PlacementQuery, now: Millis): Placement | undefined {
		const listed = this.byService.get(query.service) ?? []
		const candidates = this.candidates(listed, query, now)
		const request = this.placementRequest(query, listed, candidates, now)
		let best: { state: TargetState; cost: PlacementCost } | undefined
		for (const state of candidates) {
			const cost = placementCost(state, request, now)
			if (!best || cost.ms < best.cost.ms) best = { state, cost }
		}
		if (!best) return undefined
		return {
			target: best.state.entry,
			cost: best.cost,
			candidates: candidates.length,
			loadAgeMs: best.state.load ? Math.round(now - best.state.loadReportedAt) : -1,
		}
	}

	/** Targets that take new work; those that could not be reached lately only where there is no other. */
	private candidates(
		listed: readonly TargetState[],
		query: PlacementQuery,
		now: Millis,
	): readonly TargetState[] {
		const sound: TargetState[] = []
		const ejected: TargetState[] = []
		for (const state of listed) {
			if (!this.isOpen(state, query, now)) continue
			if (state.ejectedUntil <= now) sound.push(state)
			else ejected.push(state)
		}
		return sound.length > 0 ? sound : ejected
	}

	/** A request goes to this place now. */
	beginAttempt(place: Placement, work: DeclaredWork | undefined, now: Millis): AttemptHandle {
		const state = this.targets.get(place.target.name)
		const counted: RateLimitKind[] = []
		if (state) this.admission.countRequest(state, now, counted)
		const attempt: OpenAttempt = {
			sentAt: now,
			expectedMs: place.cost.expectedMs,
			prefillTokens: place.cost.prefillTokens,
			countedLimits: counted,
			hasFirstByte: false,
		}
		state?.openAttempts.add(attempt)
		if (work) state?.prefixCache.record(promptPrefixKeys(work.parts))
		return this.createHandle(place, attempt, state)
	}

	private createHandle(
		place: Placement,
		attempt: OpenAttempt,
		state: TargetState | undefined,
	): AttemptHandle {
		const service = place.target.service
		return {
			target: place.target.name,
			expectedMs: attempt.expectedMs,
			maySend: (now) => this.maySend(place.target, attempt, now),
			noteByte: (now) => {
				if (!state) return
				state.lastByteAt = now
				if (attempt.hasFirstByte) return
				attempt.hasFirstByte = true
				this.noteFirstByte(service, attempt, state, now)
			},
			noteLoad: (load, now) => state?.noteLoad(load, now),
			noteCold: (coldMs, now) => state?.noteCold(coldMs, now),
			noteLeaving: (now) => this.noteLeaving(place.target, now),
			noteBackoff: (ms, now) => this.noteBackoff(place.target, ms, now),
			noteRate: (perSecond, now) => this.noteResponseRate(place.target, attempt, perSecond, now),
			noteUnreadableRate: (text) => this.noteUnreadableRate(place.target, text),
			noteUnsent: () => {
				if (state && this.stateOf(place.target) === state)
					this.admission.refund(state, attempt.countedLimits)
			},
			end: (verdict, now) => {
				if (!state?.openAttempts.delete(attempt)) return
				state.noteOutcome(verdict, now)
			},
		}
	}

	/** This life of a target leaves, by its own word or that of another box. True where this is news. */
	noteLeaving(target: TargetIdentity, now: Millis): boolean {
		const life = incarnationOf(target)
		const isNews = this.notices.of(life).leavingSince === undefined
		this.applyNotice(target, this.notices.noteLeaving(life, now))
		return isNews
	}

	private noteBackoff(target: TargetEntry, ms: Millis, now: Millis): Millis {
		const notice = this.notices.noteBackoff(incarnationOf(target), ms, now)
		this.applyNotice(target, notice)
		return notice.backoffUntil
	}

	/**
	 * An answer of this life names so many requests a second for all boxes together, or no rate any more, at a time of
	 * this box's clock. True where the rate is another than was known.
	 */
	noteRate(target: TargetIdentity, perSecond: number | undefined, saidAt: Millis): boolean {
		const life = incarnationOf(target)
		const before = this.notices.of(life)
		const notice = this.notices.noteRate(life, perSecond, saidAt)
		if (notice === before) return false
		this.applyNotice(target, notice)
		const state = this.stateOf(target)
		if (state && !notice.rate) this.admission.forgetAdvertisedLimit(state.entry)
		return notice.rate?.perSecond !== before.rate?.perSecond
	}

	/**
	 * The same, in the answer to a request. One without a rate may have been made before the newest word that names one,
	 * and come late, unless its request left after that word: taken for the end, it would open the target to all boxes.
	 */
	private noteResponseRate(
		target: TargetEntry,
		attempt: OpenAttempt,
		perSecond: number | undefined,
		now: Millis,
	): boolean {
		const namedAt = this.notices.of(incarnationOf(target)).rate?.saidAt ?? Number.NEGATIVE_INFINITY
		if (perSecond === undefined && attempt.sentAt <= namedAt) return false
		return this.noteRate(target, perSecond, now)
	}

	private noteUnreadableRate(target: TargetIdentity, text: string): boolean {
		const life = incarnationOf(target)
		const before = this.notices.of(life)
		const notice = this.notices.noteUnreadableRate(life, text)
		this.applyNotice(target, notice)
		return notice !== before
	}

	/** Takes what a life said, where it is the one that is listed. */
	private applyNotice(target: TargetIdentity, notice: TargetNotice): void {
		const state = this.stateOf(target)
		if (state) state.notice = notice
	}

	private noteFirstByte(
		service: ServiceName,
		attempt: OpenAttempt,
		state: TargetState,
		now: Millis,
	): void {
		const took = now - attempt.sentAt
		state.noteLatency(Math.max(MIN_EXPECTED_MS, attempt.expectedMs), took)
		if (attempt.prefillTokens <= 0) this.plainLatencies.record(service, took)
	}

	private placementRequest(
		query: PlacementQuery,
		listed: readonly TargetState[],
		candidates: readonly TargetState[],
		now: Millis,
	): PlacementRequest {
		const parts = query.work?.parts ?? []
		const chains = promptPrefixKeys(parts)
		const shared = chains.at(-2) ?? chains.at(-1)
		const names = listed
			.filter((state) => this.admission.isInService(state))
			.map((state) => state.entry.name)
		return {
			zone: query.zone,
			hasIdleConnection: query.hasIdleConnection,
			parts,
			prefixKeys: chains,
			inputTokens: query.work && maxTotalTokens(query.work) > 0 ? query.work.inputTokens : 0,
			plainMs: this.plainLatencies.of(query.service),
			affinityTarget: shared === undefined ? undefined : rendezvousFirst(shared, names),
			baselineFailureRate: Math.min(...candidates.map((state) => state.failureRate(now))),
		}
	}

	private isOpen(state: TargetState, query: PlacementQuery, now: Millis): boolean {
		const { name, zone } = state.entry
		if (query.tried.has(incarnationOf(state.entry)) || !query.mayRunIn(zone)) return false
		return this.admission.admits(state, now) && !query.isFull(name)
	}

	/** Looks again at what may have changed since the choice, while a connection was made. */
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
