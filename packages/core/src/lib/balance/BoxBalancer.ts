import type { BoxName, ZoneName } from '../ids.js'
import type { Millis } from '../units.js'
import type { BalanceDecision, BalanceReason, BoxLoad, PeerBoxLoad } from './BoxLoad.js'
import { ReadinessBudget } from './ReadinessBudget.js'
import { TurnOrder } from './TurnOrder.js'
import { freshPeers, isOverloaded, isUsableLoad, shareToMove, zoneRoom } from './zoneRoom.js'

/** What a decision about the load of a box is based on. @public */
export interface BalanceInput {
	readonly own: BoxLoad
	/** Last reports of other boxes. Old reports and those of other zones are ignored. */
	readonly peers: readonly PeerBoxLoad[]
	/** Boxes of the own zone, including this one. */
	readonly zoneSize: number
	/** Time of the monotonic clock of this box. */
	readonly now: Millis
}

/** A time out of readiness. */
interface Absence {
	readonly leftAt: Millis
	/** Share of the traffic to move; undefined until connections are closed. */
	closeShare: number | undefined
}

/**
 * Time for which a box must be overloaded before it leaves readiness: two measurements in a row. It is short because use
 * is a mean over a second already, and the queue of a full link grows until the load balancer reacts two seconds later.
 */
const OVERLOAD_MS: Millis = 250
/** The load balancer probes every second and takes a box out after two misses. */
const CLOSE_AFTER_MS: Millis = 2_200
/**
 * The load balancer sends all connections of a large account to one box, and back to it when it is ready again. The
 * boxes therefore take turns: each is out long enough that two or three others serve the account meanwhile.
 */
export const OUT_MS: Millis = 5_000

/**
 * Decides when a box leaves readiness, so that the load balancer sends its callers to other boxes of the zone.
 * `closeShare` is constant while connections are to be closed; it is relative to the traffic at the first decision with
 * a positive share. Call {@link decide} four times a second.
 * @public
 */
export class BoxBalancer {
	private readonly box: BoxName
	private readonly zone: ZoneName
	private readonly budget = new ReadinessBudget()
	private readonly turns: TurnOrder
	private overloadedSince: Millis | undefined
	private absence: Absence | undefined

	constructor(options: { readonly box: BoxName; readonly zone: ZoneName }) {
		this.box = options.box
		this.zone = options.zone
		this.turns = new TurnOrder(options.box)
	}

	/** Decides on the present load; changes the state of the balancer. */
	decide(input: BalanceInput): BalanceDecision {
		const peers = freshPeers({ box: this.box, zone: this.zone }, input.peers, input.now)
		this.turns.update(peers, input.now)
		return this.absence === undefined
			? this.decideWhileReady(input, peers)
			: this.decideWhileOut(this.absence, input, peers)
	}

	private decideWhileReady(input: BalanceInput, peers: readonly PeerBoxLoad[]): BalanceDecision {
		const { own, now, zoneSize } = input
		const isOver = isUsableLoad(own) && isOverloaded(own)
		this.overloadedSince = isOver ? (this.overloadedSince ?? now) : undefined
		if (this.overloadedSince === undefined || now - this.overloadedSince < OVERLOAD_MS)
			return ready(this.budget.isSettling(now) ? 'settling' : 'within-limits')
		if (!this.budget.mayLeave(now, OUT_MS)) return ready('settling')
		const room = zoneRoom(own, peers, zoneSize, movedBytesPerSecond(own), now)
		if (room !== 'enough') return ready(room)
		if (!this.turns.mayLeave(own, peers, zoneSize, now)) return ready('others-go-first')
		this.turns.noteLeft(peers)
		this.absence = { leftAt: now, closeShare: undefined }
		return notReady(0)
	}

	private decideWhileOut(
		absence: Absence,
		input: BalanceInput,
		peers: readonly PeerBoxLoad[],
	): BalanceDecision {
		const { own, now, zoneSize } = input
		const outMs = now - absence.leftAt
		if (outMs >= OUT_MS) return this.returnToReady(absence, now, 'settling')
		if (!isUsableLoad(own)) return this.returnToReady(absence, now, 'within-limits')
		// Half of the room is enough to stay out, so that a small change of the others does not end an absence.
		const room = zoneRoom(own, peers, zoneSize, movedBytesPerSecond(own) / 2, now)
		if (room !== 'enough') return this.returnToReady(absence, now, room)
		if (this.turns.mustReturn(peers, zoneSize, outMs))
			return this.returnToReady(absence, now, 'others-go-first')
		if (absence.closeShare === undefined && outMs >= CLOSE_AFTER_MS)
			absence.closeShare = shareToMove(own)
		return notReady(absence.closeShare ?? 0)
	}

	private returnToReady(absence: Absence, now: Millis, reason: BalanceReason): BalanceDecision {
		this.budget.noteAbsence(absence.leftAt, now)
		this.absence = undefined
		this.overloadedSince = undefined
		return ready(reason)
	}
}

function movedBytesPerSecond(own: BoxLoad): number {
	return shareToMove(own) * own.linkUse * own.linkBytesPerSecond
}

function ready(reason: BalanceReason): BalanceDecision {
	return { isReady: true, closeShare: 0, reason }
}

function notReady(closeShare: number): BalanceDecision {
	return { isReady: false, closeShare, reason: 'moving-callers' }
}
