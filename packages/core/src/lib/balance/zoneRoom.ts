import type { BoxName, ZoneName } from '../ids.js'
import type { Millis } from '../units.js'
import type { BoxLoad, PeerBoxLoad } from './BoxLoad.js'

/** Link use above which a box is overloaded. */
const MAX_LINK_USE = 0.75
/** Event loop delay above which a box has no room for callers of others. */
const MAX_LOOP_DELAY_MS: Millis = 100
/** Link use that the receivers of moved callers should stay under. */
const MAX_RECEIVER_USE = 0.6
/** Link use to which a box that moves callers brings itself. */
const TARGET_USE = 0.5
/** The effect of a move is known only afterwards, and one caller can be the whole load of a box. */
const MAX_MOVED_SHARE = 0.5
const REPORT_VALIDITY_MS: Millis = 5_000
/**
 * Age from which a box is not counted as in rotation: boxes report at least every 2 s, and a box that stopped without
 * notice must not be counted on.
 */
const ROTATION_VALIDITY_MS: Millis = 3_000
/** Of the moved traffic that arrives at boxes with a known load, the fraction that they must have room for. */
const MIN_CARRIED_FRACTION = 0.5
/**
 * The fraction that must arrive at boxes that stay less full than this one was. With half of a zone near its limits, a
 * move would only take the others over them.
 */
const MIN_IMPROVED_FRACTION = 0.75
const MIN_IMPROVEMENT = 0.05

/**
 * Returns true if the box should move callers to other boxes. A late event loop does not count: it is often a start or a
 * pause of the process, which is over before the load balancer reacts, and the box sheds requests meanwhile.
 */
export function isOverloaded(load: BoxLoad): boolean {
	return load.linkUse > MAX_LINK_USE
}

/** Returns how far the box is over its limit; 1 at the limit. */
export function fullness(load: BoxLoad): number {
	return load.linkUse / MAX_LINK_USE
}

/** Returns true if the figures of a load can be used. */
export function isUsableLoad(load: BoxLoad): boolean {
	if (!(load.linkBytesPerSecond > 0) || !Number.isFinite(load.linkBytesPerSecond)) return false
	if (!(load.linkUse >= 0) || !Number.isFinite(load.linkUse)) return false
	return load.loopDelayMs >= 0 && Number.isFinite(load.loopDelayMs)
}

/** Returns the share of a box's traffic that should move to other boxes. */
export function shareToMove(load: BoxLoad): number {
	if (load.linkUse <= TARGET_USE) return 0
	return Math.min(MAX_MOVED_SHARE, 1 - TARGET_USE / load.linkUse)
}

/** Returns the usable reports of other boxes of the zone. */
export function freshPeers(
	own: { readonly box: BoxName; readonly zone: ZoneName },
	peers: readonly PeerBoxLoad[],
	now: Millis,
): PeerBoxLoad[] {
	return peers.filter(
		(peer) =>
			peer.box !== own.box &&
			peer.zone === own.zone &&
			now - peer.receivedAt <= REPORT_VALIDITY_MS &&
			isUsableLoad(peer),
	)
}

/** Returns true if the box can be assumed to be alive. */
function hasRecentReport(peer: PeerBoxLoad, now: Millis): boolean {
	return now - peer.receivedAt <= ROTATION_VALIDITY_MS
}

/** Returns the bytes per second that a box can take over. */
export function roomOf(load: BoxLoad): number {
	if (!load.isReady || isOverloaded(load) || load.loopDelayMs > MAX_LOOP_DELAY_MS) return 0
	return load.linkBytesPerSecond * Math.max(0, MAX_RECEIVER_USE - load.linkUse)
}

/** Why the zone could or could not take callers of this box. */
export type ZoneRoom = 'enough' | 'no-fresh-reports' | 'no-room-elsewhere'

/**
 * Decides whether the other boxes can take `movedBytesPerSecond` while this box is out of rotation. The load balancer
 * spreads callers evenly over boxes of all sizes, so each box counts with its room in bytes per second but with no more
 * than its even share of the moved traffic. Boxes without a fresh report get a share as well.
 */
export function zoneRoom(
	own: BoxLoad,
	peers: readonly PeerBoxLoad[],
	zoneSize: number,
	movedBytesPerSecond: number,
	now: Millis,
): ZoneRoom {
	const others = Math.max(0, zoneSize - 1)
	if (peers.length === 0 || peers.length * 2 < others) return 'no-fresh-reports'
	let inRotation = 0
	let notReady = 0
	for (const peer of peers) {
		if (!peer.isReady) notReady++
		else if (hasRecentReport(peer, now)) inRotation++
	}
	// With less than half of its boxes in rotation, the load balancer uses all of them, ready or not.
	if (inRotation * 2 < zoneSize) return 'no-room-elsewhere'
	const evenShare = movedBytesPerSecond / (Math.max(peers.length, others) - notReady)
	let room = 0
	let carried = 0
	let improved = 0
	for (const peer of peers) {
		const roomOfPeer = roomOf(peer)
		room += roomOfPeer
		carried += Math.min(roomOfPeer, evenShare)
		const useAfter = peer.linkUse + evenShare / peer.linkBytesPerSecond
		const isImproved = peer.isReady && useAfter <= own.linkUse - MIN_IMPROVEMENT
		improved += isImproved ? evenShare : Math.min(roomOfPeer, evenShare)
	}
	const arriving = evenShare * (peers.length - notReady)
	const isEnough =
		room >= movedBytesPerSecond &&
		carried >= arriving * MIN_CARRIED_FRACTION &&
		improved >= arriving * MIN_IMPROVED_FRACTION
	return isEnough ? 'enough' : 'no-room-elsewhere'
}
