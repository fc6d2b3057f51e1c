/** Guards against requests that are lost because boxes with the same fault are asked one after the other. */
import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type ZoneName } from '../ids.js'
import { seededRandom } from '../testRandom.js'
import { ForwardingPeers, type ForwardingPeer } from './ForwardingPeers.js'

const NONE: ReadonlySet<BoxName> = new Set()
const ZONE = brandId<ZoneName>('a')

describe('ForwardingPeers', () => {
	it('prefers boxes in the zone of the target', () => {
		const peers = new ForwardingPeers(() => fleetOf({ a: 2, b: 5 }), seededRandom(1))
		expect(peers.choose(ZONE, NONE, 0)?.zone).toBe('a')
	})

	it('asks another zone after a box of the zone could not forward', () => {
		const peers = new ForwardingPeers(() => fleetOf({ a: 20, b: 2 }), seededRandom(1))
		const first = peers.choose(ZONE, NONE, 0)
		if (first) peers.noteUnable(first.box, 0)
		expect(peers.choose(ZONE, NONE, 1)?.zone).toBe('b')
		expect(peers.choose(ZONE, NONE, 1_001)?.zone).toBe('a')
	})

	it('names no box if all have been asked or could not forward recently', () => {
		const fleet = fleetOf({ a: 1, b: 1 })
		const peers = new ForwardingPeers(() => fleet, seededRandom(1))
		peers.noteUnable(brandId<BoxName>('b-0'), 0)
		expect(peers.choose(ZONE, new Set([brandId<BoxName>('a-0')]), 500)).toBeUndefined()
	})

	it('spreads the requests over the boxes', () => {
		const peers = new ForwardingPeers(() => fleetOf({ a: 4 }), seededRandom(1))
		const counts = new Map<string, number>()
		for (let i = 0; i < 400; i++) {
			const box = peers.choose(ZONE, NONE, 0)?.box ?? ''
			counts.set(box, (counts.get(box) ?? 0) + 1)
		}
		expect(Math.min(...counts.values())).toBeGreaterThan(60)
		expect(counts.size).toBe(4)
	})
})

function fleetOf(zones: Readonly<Record<string, number>>): ForwardingPeer[] {
	return Object.entries(zones).flatMap(([zone, count]) =>
		Array.from({ length: count }, (_, i) => ({
			box: brandId<BoxName>(`${zone}-${i}`),
			zone: brandId<ZoneName>(zone),
			address: `${zone}-${i}:1`,
		})),
	)
}
