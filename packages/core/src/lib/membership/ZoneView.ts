import type { BoxName, Incarnation, ZoneName } from '../ids.js'
import { rendezvousFirst } from '../identity/rendezvous.js'

/** A box that takes part in a view. @public */
export interface Member {
	readonly box: BoxName
	readonly incarnation: Incarnation
	/** Address for peers, `http://<ip>:<port>`. */
	readonly address: string
	/** True during a planned stop: the box owns no keys any more, and may still be a witness. */
	readonly leaving: boolean
}

/** Members of an earlier view, kept so that a box that missed it can follow. @public */
export interface PastView {
	readonly number: number
	readonly members: readonly Member[]
}

/**
 * The agreed list of the boxes of a zone, numbered. A platform value, changed by compare-and-swap.
 * Ownership of keys and the choice of witnesses follow from it alone.
 * @public
 */
export interface ZoneView {
	readonly number: number
	/** Sorted by box name. */
	readonly members: readonly Member[]
	/** Latest first. */
	readonly past: readonly PastView[]
	/**
	 * Highest incarnation of each box that was a member and was dropped. It has been sealed, so it
	 * and older ones must never be members again, however late their heartbeats come.
	 */
	readonly retired: readonly RetiredBox[]
}

/** A box's highest dropped incarnation. @public */
export interface RetiredBox {
	readonly box: BoxName
	readonly incarnation: Incarnation
}

/** Earlier views kept in the value. @public */
export const MAX_PAST_VIEWS = 8

/** The view before any box has joined. @public */
export const EMPTY_VIEW: ZoneView = { number: 0, members: [], past: [], retired: [] }

/** The next view with the given members. @public */
export function nextView(view: ZoneView, members: readonly Member[]): ZoneView {
	const sorted = [...members].sort((a, b) => (a.box < b.box ? -1 : 1))
	const past = [{ number: view.number, members: view.members }, ...view.past]
	const dropped = view.members.filter((old) => {
		return !hasIncarnation(sorted, old.box, old.incarnation)
	})
	return {
		number: view.number + 1,
		members: sorted,
		past: past.slice(0, MAX_PAST_VIEWS),
		retired: dropped.reduce(addRetired, view.retired),
	}
}

function addRetired(retired: readonly RetiredBox[], member: Member): RetiredBox[] {
	const { box, incarnation } = member
	const others = retired.filter((entry) => entry.box !== box)
	return [...others, { box, incarnation }]
}

/** True where an incarnation, or a later one of the box, was dropped. Incarnations sort by age. @public */
export function isRetired(view: ZoneView, box: BoxName, incarnation: Incarnation): boolean {
	const entry = view.retired.find((row) => row.box === box)
	return entry !== undefined && incarnation <= entry.incarnation
}

/** The member with this box name. @public */
export function findMember(members: readonly Member[], box: BoxName): Member | undefined {
	return members.find((member) => member.box === box)
}

/** Says whether just this incarnation is a member. @public */
export function hasIncarnation(
	members: readonly Member[],
	box: BoxName,
	incarnation: Incarnation,
): boolean {
	return findMember(members, box)?.incarnation === incarnation
}

/** Boxes that may own keys: those that are not leaving, or all where every one is. @public */
export function eligibleOwners(members: readonly Member[]): BoxName[] {
	const staying = members.filter((member) => !member.leaving)
	return (staying.length > 0 ? staying : members).map((member) => member.box)
}

/** The box that owns a key among the members; undefined for an empty view. @public */
export function ownerOf(members: readonly Member[], key: string): Member | undefined {
	const box = rendezvousFirst(key, eligibleOwners(members))
	return box === undefined ? undefined : findMember(members, box)
}

/** The witness of a box: the next member in name order; undefined where it is alone. @public */
export function replicaBoxOf(members: readonly Member[], box: BoxName): Member | undefined {
	if (members.length < 2) return undefined
	const at = members.findIndex((member) => member.box === box)
	return at < 0 ? undefined : members[(at + 1) % members.length]
}

/**
 * True where an incarnation that is no member any more had a witness that is left to testify. Also
 * true where the view in which it was a member is no longer known.
 * @public
 */
export function hasSurvivingReplica(
	view: ZoneView,
	box: BoxName,
	incarnation: Incarnation,
): boolean {
	const last = view.past.find((past) => hasIncarnation(past.members, box, incarnation))
	if (!last) return true
	const witness = replicaBoxOf(last.members, box)
	const next = membersAt(view, last.number + 1)
	if (!witness || !next) return witness !== undefined
	return hasIncarnation(next, witness.box, witness.incarnation)
}

/** The past members of a view number, or undefined where they are no longer kept. @public */
export function membersAt(view: ZoneView, number: number): readonly Member[] | undefined {
	if (view.number === number) return view.members
	return view.past.find((entry) => entry.number === number)?.members
}

/**
 * Members of the last view before a number that had any. A zone whose boxes have all stopped has an
 * empty view; what its last members knew is lost to those that come next.
 * @public
 */
export function lastMembersBefore(view: ZoneView, number: number): readonly Member[] | undefined {
	const earlier = view.past.filter((entry) => entry.number < number)
	const last = earlier.find((entry) => entry.members.length > 0) ?? earlier[0]
	return last?.members
}

/** Platform keys of a zone. @public */
export const zoneKeys = {
	view: (zone: ZoneName) => `zones/${zone}/view`,
	keeper: (zone: ZoneName) => `zones/${zone}/keeper`,
	ledger: (zone: ZoneName, shard: number) => `zones/${zone}/ledger/${shard}`,
}

/** Platform key of a budget shard. @public */
export function shardKey(shard: number): string {
	return `budgets/${shard}`
}

/** Platform key of the accepted configuration. @public */
export const BUNDLE_HEAD_KEY = 'bundles/head'
