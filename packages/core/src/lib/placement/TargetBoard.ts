import { rendezvousFirst } from '../identity/rendezvous.js'
import type { BoxName, ServiceName, TargetName, ZoneName } from '../ids.js'
import { worstCaseTokens, type StatedWork } from '../traffic/StatedWork.js'
import type { Millis } from '../units.js'
import type { AttemptHandle } from './AttemptHandle.js'
import type { ColdStart } from './coldRate.js'
import type { NoticedTarget } from './NoticedTarget.js'
import { noticedTargetOf } from './noticedTargetOf.js'
import type { Place, PlaceQuery } from './Place.js'
import {
	isFreshWork,
	placementCost,
	type PlacementCost,
	type PlacementRequest,
} from './placementCost.js'
import { promptChains } from './PromptIndex.js'
import { TargetAdmission, type AdmissionOptions, type ClosedService } from './TargetAdmission.js'
import type { RateView } from './RateView.js'
import { ServiceTimes } from './ServiceTimes.js'
import type { TargetChanges } from './TargetChanges.js'
import type { RateKind } from './TargetRates.js'
import type { TargetEntry } from './TargetEntry.js'
import { isEarlierLife, lifeOf, type TargetLife, type TargetStart } from './TargetLife.js'
import { TargetNotices, type TargetNotice } from './TargetNotices.js'
import { TargetState, type OpenAttempt } from './TargetState.js'
import type { TargetWork } from './TargetWork.js'
import type { CordonChanges, ZoneCordon } from './ZoneCordons.js'

/** Times are compared only up to here: a long prompt tells more about a target than a short one. */
const LEAST_EXPECTED_MS = 10

/** What this box believes about all targets, and the choice among them. @public */
export class TargetBoard {
	private readonly targets = new Map<TargetName, TargetState>()
	private readonly byService = new Map<ServiceName, TargetState[]>()
	private readonly plainTimes = new ServiceTimes()
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
		mayRunIn: PlaceQuery['mayRunIn'] = () => true,
	): ClosedService | undefined {
		const listed = this.byService.get(service) ?? []
		return this.admission.closedCause(listed, now, mayRunIn)
	}

	/** Rates that targets of the service named and that keep requests of this box away now, some of them at most. */
	heldBack(service: ServiceName, now: Millis): readonly RateView[] {
		return this.admission.heldBack(this.byService.get(service) ?? [], now)
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
			if (known && isEarlierLife(entry, known.entry)) continue
			const isRestart = known !== undefined && lifeOf(entry) !== lifeOf(known.entry)
			if (isRestart) {
				restarted.push(known.entry)
				this.admission.forget(known.entry)
				if (wallTime !== undefined && entry.bornAt !== undefined)
					this.notices.noteRestart(known.entry, entry, wallTime - entry.bornAt, now)
			}
			if (!known || isRestart) {
				const notice = this.notices.of(lifeOf(entry))
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
		this.group()
		this.pruneNotices(now)
		const goneEntries = gone.map((state) => ({ ...state.entry, leaving: state.leaving }))
		return { joined, leaving, gone: goneEntries, restarted }
	}

	private pruneNotices(now: Millis): void {
		if (this.notices.isEmpty) return
		const lives = new Set([...this.targets.values()].map(({ entry }) => lifeOf(entry)))
		this.notices.prune((life) => lives.has(life), now)
	}

	/** Targets that get less work, or none, because of what they said of themselves. */
	noticedTargets(now: Millis): NoticedTarget[] {
		return [...this.targets.values()].flatMap((state) => {
			return noticedTargetOf(state, this.admission.rateOf(state, now), now) ?? []
		})
	}

	get size(): number {
		return this.targets.size
	}

	/**
	 * Work under way by target: that of this box, and what it lately heard of the other boxes that are
	 * asked for.
	 */
	workOf(includes: (box: BoxName) => boolean, now: Millis): TargetWork[] {
		const rows: TargetWork[] = []
		for (const state of this.targets.values()) {
			let unreadTokens = 0
			let open = state.open.size
			for (const attempt of state.open) if (!attempt.answered) unreadTokens += attempt.unreadTokens
			for (const [box, work] of state.peerWork) {
				if (!includes(box) || !isFreshWork(work, now)) continue
				unreadTokens += work.unreadTokens
				open += work.open
			}
			if (open > 0) rows.push({ life: lifeOf(state.entry), unreadTokens, open })
		}
		return rows
	}

	/** Another box told its work: all of it, so that a target left out has none. */
	notePeerWork(box: BoxName, rows: readonly TargetWork[], now: Millis): void {
		const told = new Map(rows.map((row) => [row.life, row]))
		for (const state of this.targets.values()) {
			const row = told.get(lifeOf(state.entry))
			if (row) state.peerWork.set(box, { unreadTokens: row.unreadTokens, open: row.open, at: now })
			else state.peerWork.delete(box)
		}
	}

	/** True where this life of the target is listed and does not leave. */
	isListed(life: TargetLife, target: TargetName): boolean {
		const state = this.targets.get(target)
		return state !== undefined && !state.leaving && lifeOf(state.entry) === life
	}

	/** True where the list calls this life of the target ready, whatever it says itself. */
	isListedAsReady(target: TargetStart): boolean {
		return this.stateOf(target)?.entry.leaving === false
	}

	/** What is believed of this life of a target, where it is the one that is listed. */
	private stateOf(target: TargetStart): TargetState | undefined {
		const state = this.targets.get(target.name)
		return state && lifeOf(state.entry) === lifeOf(target) ? state : undefined
	}

	serviceOf(target: TargetName): ServiceName | undefined {
		return this.targets.get(target)?.entry.service
	}

	/** The cheapest place that takes new work, or undefined. */
	choose(query: PlaceQuery, now: Millis): Place | undefined {
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
			loadAgeMs: best.state.load ? Math.round(now - best.state.loadAt) : -1,
		}
	}

	/** Targets that take new work; those that could not be reached lately only where there is no other. */
	private candidates(
		listed: readonly TargetState[],
		query: PlaceQuery,
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
	begin(place: Place, work: StatedWork | undefined, now: Millis): AttemptHandle {
		const state = this.targets.get(place.target.name)
		const counted: RateKind[] = []
		if (state) this.admission.count(state, now, counted)
		const attempt: OpenAttempt = {
			sentAt: now,
			expectedMs: place.cost.expectedMs,
			unreadTokens: place.cost.unreadTokens,
			counted,
			answered: false,
		}
		state?.open.add(attempt)
		if (work) state?.prompts.note(promptChains(work.parts))
		return this.handle(place, attempt, state)
	}

	private handle(
		place: Place,
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
				if (attempt.answered) return
				attempt.answered = true
				this.noteFirstByte(service, attempt, state, now)
			},
			noteLoad: (load, now) => state?.noteLoad(load, now),
			noteCold: (coldMs, now) => state?.noteCold(coldMs, now),
			noteLeaving: (now) => this.noteLeaving(place.target, now),
			noteBackoff: (ms, now) => this.noteBackoff(place.target, ms, now),
			noteRate: (perSecond, now) => this.noteAnswerRate(place.target, attempt, perSecond, now),
			noteUnreadableRate: (text) => this.noteUnreadableRate(place.target, text),
			noteUnsent: () => {
				if (state && this.stateOf(place.target) === state)
					this.admission.giveBack(state, attempt.counted)
			},
			end: (verdict, now) => {
				if (!state?.open.delete(attempt)) return
				state.noteVerdict(verdict, now)
			},
		}
	}

	/** This life of a target leaves, by its own word or that of another box. True where this is news. */
	noteLeaving(target: TargetStart, now: Millis): boolean {
		const life = lifeOf(target)
		const isNews = this.notices.of(life).leavingSince === undefined
		this.takeNotice(target, this.notices.noteLeaving(life, now))
		return isNews
	}

	private noteBackoff(target: TargetEntry, ms: Millis, now: Millis): Millis {
		const notice = this.notices.noteBackoff(lifeOf(target), ms, now)
		this.takeNotice(target, notice)
		return notice.backoffUntil
	}

	/**
	 * An answer of this life names so many requests a second for all boxes together, or no rate any more, at a time of
	 * this box's clock. True where the rate is another than was known.
	 */
	noteRate(target: TargetStart, perSecond: number | undefined, saidAt: Millis): boolean {
		const life = lifeOf(target)
		const before = this.notices.of(life)
		const notice = this.notices.noteRate(life, perSecond, saidAt)
		if (notice === before) return false
		this.takeNotice(target, notice)
		const state = this.stateOf(target)
		if (state && !notice.rate) this.admission.forgetNamedRate(state.entry)
		return notice.rate?.perSecond !== before.rate?.perSecond
	}

	/**
	 * The same, in the answer to a request. One without a rate may have been made before the newest word that names one,
	 * and come late, unless its request left after that word: taken for the end, it would open the target to all boxes.
	 */
	private noteAnswerRate(
		target: TargetEntry,
		attempt: OpenAttempt,
		perSecond: number | undefined,
		now: Millis,
	): boolean {
		const namedAt = this.notices.of(lifeOf(target)).rate?.saidAt ?? Number.NEGATIVE_INFINITY
		if (perSecond === undefined && attempt.sentAt <= namedAt) return false
		return this.noteRate(target, perSecond, now)
	}

	private noteUnreadableRate(target: TargetStart, text: string): boolean {
		const life = lifeOf(target)
		const before = this.notices.of(life)
		const notice = this.notices.noteUnreadableRate(life, text)
		this.takeNotice(target, notice)
		return notice !== before
	}

	/** Takes what a life said, where it is the one that is listed. */
	private takeNotice(target: TargetStart, notice: TargetNotice): void {
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
		state.noteSpeed(Math.max(LEAST_EXPECTED_MS, attempt.expectedMs), took)
		if (attempt.unreadTokens <= 0) this.plainTimes.note(service, took)
	}

	private placementRequest(
		query: PlaceQuery,
		listed: readonly TargetState[],
		candidates: readonly TargetState[],
		now: Millis,
	): PlacementRequest {
		const parts = query.work?.parts ?? []
		const chains = promptChains(parts)
		const shared = chains.at(-2) ?? chains.at(-1)
		const names = listed
			.filter((state) => this.admission.isInService(state))
			.map((state) => state.entry.name)
		return {
			zone: query.zone,
			isConnected: query.isConnected,
			parts,
			chains,
			inputTokens: query.work && worstCaseTokens(query.work) > 0 ? query.work.inputTokens : 0,
			plainMs: this.plainTimes.of(query.service),
			home: shared === undefined ? undefined : rendezvousFirst(shared, names),
			usualFailures: Math.min(...candidates.map((state) => state.failures(now))),
		}
	}

	private isOpen(state: TargetState, query: PlaceQuery, now: Millis): boolean {
		const { name, zone } = state.entry
		if (query.tried.has(lifeOf(state.entry)) || !query.mayRunIn(zone)) return false
		return this.admission.admits(state, now) && !query.isFull(name)
	}

	/** Looks again at what may have changed since the choice, while a connection was made. */
	private maySend(chosen: TargetEntry, attempt: OpenAttempt, now: Millis): boolean {
		const state = this.stateOf(chosen)
		if (!state || !this.admission.isOpen(state, now)) return false
		if (!this.admission.bearsOneMore(state, now, attempt.counted)) return false
		this.admission.count(state, now, attempt.counted)
		return true
	}

	private group(): void {
		this.byService.clear()
		for (const state of this.targets.values()) {
			const group = this.byService.get(state.entry.service)
			if (group) group.push(state)
			else this.byService.set(state.entry.service, [state])
		}
	}
}
