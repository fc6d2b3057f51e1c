import type { BoxName, ZoneName } from '../ids.js'
import type { Millis } from '../units.js'

/** A box that may forward requests to targets. @public */
export interface ForwardingPeer {
	readonly box: BoxName
	readonly zone: ZoneName
	readonly address: string
}

/** Time for which a box that could not forward a request is not asked again, in ms. */
const BACKOFF_MS: Millis = 1_000

/**
 * Chooses the box that forwards a request for a box without a path to the target. Boxes in the zone of the target come
 * first, because they cause no further traffic between zones; but a box that cannot forward often shares its zone's
 * fault, so the other zones come first while a box of the zone backs off.
 * @public
 */
export class ForwardingPeers {
	private readonly backoffUntil = new Map<BoxName, Millis>()

	constructor(
		/** All other boxes. */
		private readonly peers: () => readonly ForwardingPeer[],
		private readonly random: () => number,
	) {}

	/** A box that is not in `tried` and has not failed recently; undefined if there is none. */
	choose(zone: ZoneName, tried: ReadonlySet<BoxName>, now: Millis): ForwardingPeer | undefined {
		this.dropExpired(now)
		const available = this.peers().filter(
			({ box }) => !tried.has(box) && !this.backoffUntil.has(box),
		)
		const inZone = available.filter((peer) => peer.zone === zone)
		const elsewhere = available.filter((peer) => peer.zone !== zone)
		const [first, second] = this.hasFailedIn(zone) ? [elsewhere, inZone] : [inZone, elsewhere]
		return this.randomOf(first) ?? this.randomOf(second)
	}

	/** A box could not forward a request. */
	noteUnable(box: BoxName, now: Millis): void {
		this.backoffUntil.set(box, now + BACKOFF_MS)
	}

	private hasFailedIn(zone: ZoneName): boolean {
		return this.peers().some((peer) => peer.zone === zone && this.backoffUntil.has(peer.box))
	}

	private randomOf(peers: readonly ForwardingPeer[]): ForwardingPeer | undefined {
		return peers[Math.floor(this.random() * peers.length)]
	}

	private dropExpired(now: Millis): void {
		for (const [box, until] of this.backoffUntil) if (until <= now) this.backoffUntil.delete(box)
	}
}
