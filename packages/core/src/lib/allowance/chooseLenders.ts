import { rendezvous } from '../identity/rendezvous.js'
import type { AccountName, BoxName, ZoneName } from '../ids.js'

/** A box of the fleet, as announced to the other boxes. @public */
export interface FleetMember {
	readonly box: BoxName
	readonly zone: ZoneName
	/** IP address and port at which other boxes reach it. */
	readonly address: string
	/** CPU quota in cores; 0 if unknown. */
	readonly cores: number
}

/**
 * Boxes of a zone that draw tokens from the store and lend them to the others. Store traffic then grows with the number
 * of zones instead of boxes, and the tokens of an account are not scattered over all boxes.
 */
const LENDERS_PER_ZONE = 2
/** In a zone of at most this many boxes, every box is a lender and depends on no other. */
const MAX_BOXES_ALL_LENDERS = 3

/**
 * The lenders of a zone; every box with the same member list chooses the same ones. Boxes with the most cores are
 * preferred, because lenders serve the other boxes in addition to their own callers. A lender with 0.3 cores would be
 * late for all boxes that depend on it.
 * @public
 */
export function lendersOfZone(members: readonly FleetMember[], zone: ZoneName): FleetMember[] {
	const ofZone = members.filter((member) => member.zone === zone)
	const allLend = ofZone.length <= MAX_BOXES_ALL_LENDERS
	const largestFirst = rankByKey(zone, ofZone).sort((a, b) => b.cores - a.cores)
	return largestFirst.slice(0, allLend ? ofZone.length : LENDERS_PER_ZONE)
}

/** The lenders of all zones. @public */
export function allLenders(members: readonly FleetMember[]): FleetMember[] {
	const zones = new Set(members.map((member) => member.zone))
	return [...zones].flatMap((zone) => lendersOfZone(members, zone))
}

/**
 * The boxes to ask for tokens of an account, in order: lenders of the own zone, one lender of each other zone, then the
 * rest. All boxes of a zone ask the same lender of an account first, which keeps its tokens in one place.
 * @public
 */
export function lendersFor(
	account: AccountName,
	members: readonly FleetMember[],
	zone: ZoneName,
): FleetMember[] {
	const ownZone = rankByKey(account, lendersOfZone(members, zone))
	const first = rankByKey(account, firstLenderOfOtherZones(account, members, zone))
	const others = rankByKey(account, allLenders(members)).filter(
		(member) => member.zone !== zone && !first.includes(member),
	)
	return [...ownZone, ...first, ...others]
}

/**
 * The boxes to ask for changes in the store, in order: lenders of the own zone, which watch the store as well, then one
 * lender of each other zone, then the rest. Different boxes ask different lenders first, which spreads the load.
 * @public
 */
export function watchersFor(members: readonly FleetMember[], self: FleetMember): FleetMember[] {
	const ownZone = rankByKey(self.box, lendersOfZone(members, self.zone))
	const zones = otherZones(members, self.zone)
	const lendersByZone = zones.map((zone) => rankByKey(self.box, lendersOfZone(members, zone)))
	return [
		...ownZone,
		...lendersByZone.flatMap((watchers) => watchers.slice(0, 1)),
		...lendersByZone.flatMap((watchers) => watchers.slice(1)),
	]
}

/** The first lender for a key in each zone but `zone`. */
function firstLenderOfOtherZones(
	key: string,
	members: readonly FleetMember[],
	zone: ZoneName,
): FleetMember[] {
	return otherZones(members, zone).flatMap((other) =>
		rankByKey(key, lendersOfZone(members, other)).slice(0, 1),
	)
}

function otherZones(members: readonly FleetMember[], zone: ZoneName): ZoneName[] {
	const zones = new Set(members.map((member) => member.zone))
	zones.delete(zone)
	return [...zones]
}

function rankByKey(key: string, members: readonly FleetMember[]): FleetMember[] {
	const byBox = new Map(members.map((member) => [member.box, member]))
	return rendezvous(key, [...byBox.keys()]).flatMap((box) => byBox.get(box) ?? [])
}
