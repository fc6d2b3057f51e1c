import { rendezvous } from '../identity/rendezvous.js'
import type { BoxName, ZoneName } from '../ids.js'
import type { FleetMember } from '../allowance/chooseLenders.js'

/** Number of boxes that store the origin of a stream besides the one at which it began. */
const HOLDER_COUNT = 3

/**
 * The boxes that store the origin of a stream, for the box at which it began. They are of different zones as far as
 * possible, so that an origin outlives the failure of a zone.
 * @public
 */
export function originHolders(
	request: string,
	others: readonly FleetMember[],
): readonly FleetMember[] {
	return spreadOverZones(request, others).slice(0, HOLDER_COUNT)
}

/**
 * The boxes that may store the origin of a stream, for a box that does not know at which box it began. That box is not a
 * holder itself, so the next box, and the next one of each zone, may be holders in its place.
 * @public
 */
export function possibleOriginHolders(
	request: string,
	members: readonly FleetMember[],
): readonly FleetMember[] {
	const spread = spreadOverZones(request, members)
	const first = spread.slice(0, HOLDER_COUNT + 1)
	const next = first.flatMap(({ zone }) => {
		return spread.find((member) => member.zone === zone && !first.includes(member)) ?? []
	})
	return [...new Set([...first, ...next])]
}

/** All boxes: the first of each zone for this request, then the second of each zone, and so on. */
function spreadOverZones(request: string, members: readonly FleetMember[]): readonly FleetMember[] {
	const byBox = new Map<BoxName, FleetMember>(members.map((member) => [member.box, member]))
	const countByZone = new Map<ZoneName, number>()
	const rounds: FleetMember[][] = []
	for (const box of rendezvous(request, [...byBox.keys()])) {
		const member = byBox.get(box)
		if (!member) continue
		const round = countByZone.get(member.zone) ?? 0
		countByZone.set(member.zone, round + 1)
		rounds[round] = [...(rounds[round] ?? []), member]
	}
	return rounds.flat()
}
