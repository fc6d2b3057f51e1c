import { rendezvous } from '../identity/rendezvous.js'
import type { AccountName, BoxName, ZoneName } from '../ids.js'

/** A box of the fleet, as it told the others. @public */
export interface FleetMember {
	readonly box: BoxName
	readonly zone: ZoneName
	/** Where other boxes reach it: IP number and port. */
	readonly address: string
	/** Processor time that it may use, in cores; 0 where it did not tell. */
	readonly cores: number
}

/**
 * Boxes of a zone that draw from the store. Draws, records and renewals then grow with zones and not
 * with boxes, and what is held of an account lies in a few places instead of in crumbs at every box.
 */
const LENDERS_PER_ZONE = 2
/** Boxes of a zone up to which all draw: nobody then depends on another box for tokens. */
const MAX_BOXES_ALL_LENDERS = 3

/**
 * The boxes of a zone that draw from the store: the same at every box that knows the same members. The largest
 * come first: they serve the other boxes beside their own callers, and a box of 0.3 cores that is a busy one's
 * only hope is late for all of them.
 * @public
 */
export function lendersOfZone(members: readonly FleetMember[], zone: ZoneName): FleetMember[] {
	const ofZone = members.filter((member) => member.zone === zone)
	const isSmall = ofZone.length <= MAX_BOXES_ALL_LENDERS
	const largestFirst = rankByKey(zone, ofZone).sort((a, b) => b.cores - a.cores)
	return largestFirst.slice(0, isSmall ? ofZone.length : LENDERS_PER_ZONE)
}

/** The lenders of all zones. @public */
export function allLenders(members: readonly FleetMember[]): FleetMember[] {
	const zones = new Set(members.map((member) => member.zone))
	return [...zones].flatMap((zone) => lendersOfZone(members, zone))
}

/**
 * Boxes that a box asks for tokens of an account, in order. In a zone all boxes begin with the same
 * lender of an account, so that its tokens lie together.
 * @public
 */
export function lendersFor(
	account: AccountName,
	members: readonly FleetMember[],
	zone: ZoneName,
): FleetMember[] {
	const near = rankByKey(account, lendersOfZone(members, zone))
	const first = rankByKey(account, firstLenderOfOtherZones(account, members, zone))
	const others = rankByKey(account, allLenders(members)).filter(
		(member) => member.zone !== zone && !first.includes(member),
	)
	return [...near, ...first, ...others]
}

/**
 * Boxes that a box asks for changes in the store, in order: those of its zone that draw watch as well,
 * then one of each other zone. Boxes begin with different ones, so that none has to tell all.
 * @public
 */
export function watchersFor(members: readonly FleetMember[], self: FleetMember): FleetMember[] {
	const near = rankByKey(self.box, lendersOfZone(members, self.zone))
	const zones = otherZones(members, self.zone)
	const distant = zones.map((zone) => rankByKey(self.box, lendersOfZone(members, zone)))
	return [
		...near,
		...distant.flatMap((watchers) => watchers.slice(0, 1)),
		...distant.flatMap((watchers) => watchers.slice(1)),
	]
}

/** The lender that comes first for a key in each zone but one. */
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
