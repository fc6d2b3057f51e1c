import { brandId, type BoxName, type Incarnation, type PeerMessage } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import { decodeMessage, encodeMessage } from './peerCodec.js'

function roundTrip(message: PeerMessage): PeerMessage | undefined {
	return decodeMessage(encodeMessage(message))
}

describe('peerCodec', () => {
	it('encodes and decodes an acknowledgement without changes', () => {
		const incarnation = brandId<Incarnation>('i1')
		const message: PeerMessage = { kind: 'log-ack', incarnation, view: 3, seq: 7 }
		expect(roundTrip(message)).toMatchObject(message)
	})

	it('leaves the view of a digest undefined if it is absent', () => {
		const box = brandId<BoxName>('box-1')
		const incarnation = brandId<Incarnation>('i1')
		const keeper = { box, incarnation, address: 'http://127.0.0.1:1', leaving: false }
		const message: PeerMessage = {
			kind: 'digest',
			keeper,
			term: 4,
			resigned: false,
			platformUp: true,
			bundleVersion: 2,
			zones: [],
			reports: [],
			leavingTargets: [],
		}
		const decoded = roundTrip(message)
		expect(decoded).toMatchObject(message)
		expect(decoded?.kind === 'digest' && decoded.view).toBeUndefined()
	})
})
