import { fnv1a } from '../fnv1a.js'
import { rendezvousRank } from '../identity/rendezvous.js'
import type { BoxName, ServiceName, TargetName } from '../ids.js'
import type { Millis } from '../units.js'
import { openRequestsOfPeers } from './placementCost.js'
import type { TargetState } from './TargetState.js'

export interface RejectionLimiterOptions {
	readonly self: BoxName
	/** All boxes of the fleet. Returns the same array instance until the boxes change. */
	readonly boxes: () => readonly BoxName[]
}

/** Part of a target's slots that belongs to this box. */
interface SlotQuota {
	readonly requests: number
	/** The inputs from which it was computed. */
	readonly boxes: readonly BoxName[]
	readonly slots: number
}

const SECOND_MS: Millis = 1_000
/** Longest pause after a rejection, in ms; shorter than callers wait. */
const MAX_PAUSE_MS: Millis = 3_000
/** Time after which another box may be the one that takes a free slot, in ms: the age of the reports of work. */
const TURN_MS: Millis = 50

/**
 * Avoids rejections by targets that fail after too many of them. The slots of such a target are divided among the boxes:
 * within its quota a box is never rejected as long as all boxes keep to theirs. A box takes more only if the
 * reported work leaves room, a few boxes at a time, and after a rejection it pauses for as long as its share of the
 * rejections allows.
 */
export class RejectionLimiter {
	/** Rejections per second that the targets of a service tolerate. */
	private readonly limits = new Map<ServiceName, number>()
	private readonly pausedUntil = new Map<TargetName, Millis>()
	private readonly quotas = new Map<TargetName, SlotQuota>()

	constructor(private readonly options: RejectionLimiterOptions) {}

	/** Rejections per second that each target of the service tolerates; undefined if they state none. */
	limitOf(service: ServiceName): number | undefined {
		return this.limits.get(service)
	}

	/** Records the limit that a response states; undefined if it states none. Returns true if it changed. */
	noteLimit(service: ServiceName, perSecond: number | undefined): boolean {
		if (this.limits.get(service) === perSecond) return false
		if (perSecond === undefined) this.limits.delete(service)
		else this.limits.set(service, perSecond)
		return true
	}

	/** Records that the target rejected a request of this box because its queue is full. */
	noteRejected({ name, service }: TargetState['entry'], now: Millis): void {
		const perSecond = this.limits.get(service)
		if (perSecond === undefined) return
		const pauseMs = (SECOND_MS * this.options.boxes().length) / Math.max(1, perSecond)
		this.pausedUntil.set(name, now + Math.min(MAX_PAUSE_MS, pauseMs))
	}

	/** True if this box may send the target another request now. */
	admits(target: TargetState, now: Millis): boolean {
		const { entry } = target
		if (!this.limits.has(entry.service)) return true
		if ((this.pausedUntil.get(entry.name) ?? 0) > now) return false
		const own = target.openAttempts.size
		return own < this.quotaOf(target) || this.mayExceedQuota(target, own, now)
	}

	forget({ name }: TargetState['entry']): void {
		this.pausedUntil.delete(name)
		this.quotas.delete(name)
	}

	private quotaOf({ entry, load }: TargetState): number {
		const boxes = this.options.boxes()
		const slots = load?.slots ?? entry.slots
		const cached = this.quotas.get(entry.name)
		if (cached?.boxes === boxes && cached.slots === slots) return cached.requests
		const count = Math.max(1, boxes.length)
		const rest = slots % count
		const hasRest = rendezvousRank(entry.name, this.options.self, boxes, rest) !== undefined
		const requests = Math.floor(slots / count) + (hasRest ? 1 : 0)
		this.quotas.set(entry.name, { requests, boxes, slots })
		return requests
	}

	/** Boxes learn of each other's requests late, so only as many may take a free slot as there are free ones. */
	private mayExceedQuota(target: TargetState, own: number, now: Millis): boolean {
		const { entry, load } = target
		const room = (load?.slots ?? entry.slots) - own - openRequestsOfPeers(target, now)
		if (room <= 0) return false
		const turn = fnv1a(`${entry.name} ${this.options.self} ${Math.floor(now / TURN_MS)}`)
		return turn % Math.max(1, this.options.boxes().length) < room
	}
}
