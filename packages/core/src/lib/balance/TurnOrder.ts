import type { BoxName } from '../ids.js'
import type { Millis } from '../units.js'
import type { BoxLoad, PeerBoxLoad } from './BoxLoad.js'
import { fullness, isOverloaded } from './zoneRoom.js'

/**
 * Boxes whose fullness differs by less count as equally full. Each box compares its present load with older reports of
 * the others, so a smaller difference would let each of two boxes consider itself the fuller one.
 */
const EQUAL_FULLNESS = 0.15
/**
 * A fuller box that has not left readiness for so long cannot (it moved callers recently, or knows too little of the
 * others), and does not keep this box waiting.
 */
const MAX_WAIT_MS: Millis = 3_000
/** At most this fraction of the boxes of a zone is out at once; the rest must carry the load. */
const MAX_OUT_FRACTION = 1 / 8
/** Time in which a box learns that another one left at the same moment: a report interval and the age of a report. */
const CONFLICT_MS: Millis = 1_500

/**
 * Decides which boxes of a zone may be out of readiness at the same time. Each box derives this from the reports of the
 * others: those that are out keep their turn, then the fullest go first, and ties are resolved by name.
 */
export class TurnOrder {
	/** Since when other boxes are overloaded and still ready. */
	private overloadedSince = new Map<BoxName, Millis>()
	private outBefore: ReadonlySet<BoxName> = new Set()

	constructor(private readonly box: BoxName) {}

	/** Takes the present reports of the zone. */
	update(peers: readonly PeerBoxLoad[], now: Millis): void {
		const previous = this.overloadedSince
		if (previous.size === 0 && !peers.some(isWaiting)) return
		this.overloadedSince = new Map()
		for (const peer of peers) {
			if (isWaiting(peer)) this.overloadedSince.set(peer.box, previous.get(peer.box) ?? now)
		}
	}

	/** Returns true if it is the turn of this box. */
	mayLeave(own: BoxLoad, peers: readonly PeerBoxLoad[], zoneSize: number, now: Millis): boolean {
		let ahead = 0
		for (const peer of peers) {
			if (!peer.isReady || this.isAhead(peer, own, now)) ahead++
		}
		return ahead < maxBoxesOut(zoneSize)
	}

	/** Records that this box left readiness. */
	noteLeft(peers: readonly PeerBoxLoad[]): void {
		this.outBefore = new Set(peers.filter((peer) => !peer.isReady).map((peer) => peer.box))
	}

	/** Returns true if other boxes left at the same moment, so that too many are out and this one has to return. */
	mustReturn(peers: readonly PeerBoxLoad[], zoneSize: number, outMs: Millis): boolean {
		if (outMs > CONFLICT_MS) return false
		let ahead = 0
		for (const peer of peers) {
			if (!peer.isReady && (this.outBefore.has(peer.box) || peer.box < this.box)) ahead++
		}
		return ahead >= maxBoxesOut(zoneSize)
	}

	private isAhead(peer: PeerBoxLoad, own: BoxLoad, now: Millis): boolean {
		const since = this.overloadedSince.get(peer.box)
		if (since === undefined || now - since > MAX_WAIT_MS) return false
		const difference = fullness(peer) - fullness(own)
		if (Math.abs(difference) > EQUAL_FULLNESS) return difference > 0
		return peer.box < this.box
	}
}

/** Returns how many boxes of a zone may be out at once. */
function maxBoxesOut(zoneSize: number): number {
	return Math.max(1, Math.floor(zoneSize * MAX_OUT_FRACTION))
}

function isWaiting(peer: PeerBoxLoad): boolean {
	return peer.isReady && isOverloaded(peer)
}
