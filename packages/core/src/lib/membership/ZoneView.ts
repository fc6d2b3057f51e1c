import type { BoxName, Incarnation, ZoneName } from '../ids.js'
import { rendezvousFirst } from '../identity/rendezvous.js'

/** A box that is a member of a view. @public */
export interface Member {
	readonly box: BoxName
	readonly incarnation: Incarnation
	/** Address for other boxes, `http://<ip>:<port>`. */
	readonly address: string
	/** True during a planned stop. The box owns no keys, but may still hold a replica. */
	readonly leaving: boolean
}

/** Members of an earlier view, kept for boxes that missed it. @public */
export interface PastView {
	readonly number: number
	readonly members: readonly Member[]
}

/**
 * Numbered membership view of a zone. Stored on the platform and changed by compare-and-swap. It alone determines which
 * box owns a key and which box holds whose replica.
 * @public
 */
export interface ZoneView {
	readonly number: number
	/** Sorted by box name. */
	readonly members: readonly Member[]
	/** Earlier views, latest first. */
	readonly past: readonly PastView[]
	/**
	 * Latest incarnation of each box that was removed from the view. It is sealed, so it and older ones must never become
	 * members again, even if a delayed heartbeat arrives.
	 */
	readonly retired: readonly RetiredBox[]
}

/** Latest removed incarnation of a box. @public */
export interface RetiredBox {
	readonly box: BoxName
	readonly incarnation: Incarnation
}

/** Maximum number of earlier views in a view. @public */
export const MAX_PAST_VIEWS = 8

/** The view of a zone that no box has joined. @public */
export const EMPTY_VIEW: ZoneView = { number: 0, members: [], past: [], retired: [] }

/** Creates the next view, with the given members. @public */
export function nextView(view: ZoneView, members: readonly Member[]): ZoneView {
	const sorted = [...members].sort((a, b) => (a.box < b.box ? -1 : 1))
	const past = [{ number: view.number, members: view.members }, ...view.past]
	const removed = view.members.filter((member) => {
		return !hasIncarnation(sorted, member.box, member.incarnation)
	})
	return {
		number: view.number + 1,
		members: sorted,
		past: past.slice(0, MAX_PAST_VIEWS),
		retired: removed.reduce(addRetired, view.retired),
	}
}

function addRetired(retired: readonly RetiredBox[], member: Member): RetiredBox[] {
	const { box, incarnation } = member
	const others = retired.filter((entry) => entry.box !== box)
	return [...others, { box, incarnation }]
}

/** True if this or a later incarnation of the box was removed. Incarnations sort by start time. @public */
export function isRetired(view: ZoneView, box: BoxName, incarnation: Incarnation): boolean {
	const entry = view.retired.find((row) => row.box === box)
	return entry !== undefined && incarnation <= entry.incarnation
}

export function findMember(members: readonly Member[], box: BoxName): Member | undefined {
	return members.find((member) => member.box === box)
}

/** True if this incarnation of the box is a member. @public */
export function hasIncarnation(
	members: readonly Member[],
	box: BoxName,
	incarnation: Incarnation,
): boolean {
	return findMember(members, box)?.incarnation === incarnation
}

/** Returns the boxes that may own keys: those that are not leaving, or all if every box is leaving. @public */
export function eligibleOwners(members: readonly Member[]): BoxName[] {
	const staying = members.filter((member) => !member.leaving)
	return (staying.length > 0 ? staying : members).map((member) => member.box)
}

/** Returns the member that owns a key; undefined for an empty view. @public */
export function ownerOf(members: readonly Member[], key: string): Member | undefined {
	const box = rendezvousFirst(key, eligibleOwners(members))
	return box === undefined ? undefined : findMember(members, box)
}

/** Returns the member that holds the replica of a box: the next one by name; undefined if there is no other. @public */
export function replicaBoxOf(members: readonly Member[], box: BoxName): Member | undefined {
	if (members.length < 2) return undefined
	const index = members.findIndex((member) => member.box === box)
	return index < 0 ? undefined : members[(index + 1) % members.length]
}

/**
 * True if the replica of a removed incarnation survived its removal. Also true if the last view with that incarnation is
 * no longer known.
 * @public
 */
export function hasSurvivingReplica(
	view: ZoneView,
	box: BoxName,
	incarnation: Incarnation,
): boolean {
	const lastView = view.past.find((past) => hasIncarnation(past.members, box, incarnation))
	if (!lastView) return true
	const replicaBox = replicaBoxOf(lastView.members, box)
	const nextMembers = membersAt(view, lastView.number + 1)
	if (!replicaBox || !nextMembers) return replicaBox !== undefined
	return hasIncarnation(nextMembers, replicaBox.box, replicaBox.incarnation)
}

/** Returns the members of the view with a number; undefined if that view is not kept. @public */
export function membersAt(view: ZoneView, number: number): readonly Member[] | undefined {
	if (view.number === number) return view.members
	return view.past.find((entry) => entry.number === number)?.members
}

/**
 * Returns the members of the last non-empty view before a number. A zone whose boxes have all stopped has an empty
 * view; what its last members knew is lost to those that come next.
 * @public
 */
export function lastMembersBefore(view: ZoneView, number: number): readonly Member[] | undefined {
	const earlierViews = view.past.filter((entry) => entry.number < number)
	const lastView = earlierViews.find((entry) => entry.members.length > 0) ?? earlierViews[0]
	return lastView?.members
}

/** Platform keys of a zone. @public */
export const zoneKeys = {
	view: (zone: ZoneName) => `zones/${zone}/view`,
	leader: (zone: ZoneName) => `zones/${zone}/keeper`,
	ledger: (zone: ZoneName, shard: number) => `zones/${zone}/ledger/${shard}`,
}

/** Platform key of a budget shard. @public */
export function shardKey(shard: number): string {
	return `budgets/${shard}`
}

/** Platform key of the current bundle version. @public */
export const BUNDLE_HEAD_KEY = 'bundles/head'
