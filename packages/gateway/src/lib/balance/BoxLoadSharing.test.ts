import type { RemoteInfo } from 'node:dgram'
import { brandId, type BoxLoad, type BoxName, type LogEvent, type ZoneName } from '@stallwing/core'
import * as fc from 'fast-check'
import { beforeEach, describe, expect, it } from 'vitest'
import type { DatagramHandler } from '../PeerDatagrams.js'
import { BoxLoadSharing } from './BoxLoadSharing.js'
import { decodeBoxLoads, encodeBoxLoad } from './boxLoadCodec.js'

const ZONE = brandId<ZoneName>('z1')

function loadOf(box: string, changes: Partial<BoxLoad> = {}): BoxLoad {
	return {
		box: brandId<BoxName>(box),
		zone: ZONE,
		linkBytesPerSecond: 875_000,
		linkUse: 0.25,
		loopDelayMs: 3,
		isReady: true,
		...changes,
	}
}

const SENDER: RemoteInfo = { address: '10.0.0.2', family: 'IPv4', port: 7, size: 0 }

describe('BoxLoadSharing', () => {
	let now: number
	let sent: { bytes: Buffer; peer: string }[]
	let handler: DatagramHandler
	let logEvents: LogEvent[]
	let noted: [string, number, number][]
	let sharing: BoxLoadSharing
	beforeEach(() => {
		now = 10_000
		sent = []
		logEvents = []
		noted = []
		sharing = new BoxLoadSharing({
			box: brandId<BoxName>('self'),
			zone: ZONE,
			datagrams: {
				onMessage: (given) => (handler = given),
				send: (bytes, peer) => sent.push({ bytes, peer }),
			},
			peers: () => ['10.0.0.2:7', '10.0.0.3:7'],
			linkDelay: { noteReport: (...report) => noted.push(report) },
			now: () => now,
			log: (event) => logEvents.push(event),
		})
	})

	function receive(text: string, sender = SENDER): boolean {
		return handler(Buffer.from(text), sender)
	}

	/** Number of reports sent to each peer in 8 s, with a call every 250 ms. */
	function reportsIn8s(load: BoxLoad): number {
		sharing.share(load)
		sent = []
		for (let i = 0; i < 32; i++) {
			now += 250
			sharing.share(load)
		}
		return sent.length / 2
	}

	it('reports every two seconds, and twice a second if busy or not ready', () => {
		expect(reportsIn8s(loadOf('self'))).toBe(4)
		expect(reportsIn8s(loadOf('self', { linkUse: 0.51 }))).toBe(16)
		expect(reportsIn8s(loadOf('self', { isReady: false }))).toBe(16)
	})

	it('keeps its interval when timers fire early', () => {
		sharing.share(loadOf('self', { linkUse: 0.6 }))
		sent = []
		for (let i = 0; i < 32; i++) {
			now += 249.6
			sharing.share(loadOf('self', { linkUse: 0.6 }))
		}
		expect(sent.length / 2).toBe(16)
	})

	it('reports a change of readiness at once, so that others do not leave at the same time', () => {
		sharing.share(loadOf('self'))
		sharing.share(loadOf('self', { isReady: false }))
		sharing.share(loadOf('self', { isReady: false }))
		sharing.share(loadOf('self'))
		expect(sent.map(({ peer }) => peer)).toHaveLength(6)
	})

	it('uses a report for five seconds and gives its send time to the link delay', () => {
		expect(handler(encodeBoxLoad(loadOf('b'), 123.45), SENDER)).toBe(true)
		expect(sharing.peerLoads).toEqual([{ ...loadOf('b'), receivedAt: 10_000 }])
		expect(noted).toEqual([['b', 123.5, 10_000]])
		now += 5_000
		expect(sharing.peerLoads).toHaveLength(1)
		now += 1
		expect(sharing.peerLoads).toEqual([])
	})

	it('reads rows of six fields and longer ones, and ignores its own reports and other zones', () => {
		expect(receive('{"load":[["b","z1",1000,0.5,0,true],["c","z1",1000,2,0,false,7,"new"]]}')).toBe(
			true,
		)
		expect(receive('{"load":[["self","z1",1000,0.5,0,true],["d","z2",1000,0.5,0,true]]}')).toBe(
			true,
		)
		expect(sharing.peerLoads.map(({ box }) => box)).toEqual(['b', 'c'])
		expect(sharing.unreadableCount).toBe(0)
	})

	it('leaves other kinds of messages to their handlers', () => {
		for (const text of ['{"work":[]}', '', '{"loads":[]}']) expect(receive(text)).toBe(false)
		expect(sharing.unreadableCount).toBe(0)
	})

	it('ignores and counts unreadable rows, and logs them once for each sender', () => {
		const rows = [
			'["b","z1",0,0.5,0,true]',
			'["b","z1",1000,-1,0,true]',
			'["b","z1",1000,0.5,null,true]',
			'["b","z1",1000,0.5,0,1]',
			'["b","z1",1000,0.5,0,true,"x"]',
			'["","z1",1000,0.5,0,true]',
			'["b",7,1000,0.5,0,true]',
			'["b","z1",1e999,0.5,0,true]',
			'7',
		]
		expect(receive(`{"load":[${rows.join()},["c","z1",1000,0.5,0,true]]}`)).toBe(true)
		expect(sharing.peerLoads.map(({ box }) => box)).toEqual(['c'])
		expect(sharing.unreadableCount).toBe(rows.length)
		expect(receive('{"load":[["b"')).toBe(true)
		expect(receive('{"load":7}', { ...SENDER, address: '10.0.0.9' })).toBe(true)
		expect(logEvents.map(({ name, fields }) => [name, fields?.from])).toEqual([
			['box-load-unreadable', '10.0.0.2:7'],
			['box-load-unreadable', '10.0.0.9:7'],
		])
	})

	it('bounds what it stores and logs for made-up boxes and senders', () => {
		for (let i = 0; i < 3_000; i++) {
			receive(`{"load":[["b${i}","z1",1000,0.5,0,true]]}`)
			receive('{"load":[7]}', { ...SENDER, port: i })
		}
		expect(sharing.peerLoads).toHaveLength(1_000)
		expect(logEvents).toHaveLength(100)
		expect(sharing.unreadableCount).toBe(3_000)
	})
})

describe('boxLoadCodec', () => {
	it('keeps the order of the first fields, which other versions read', () => {
		const text = encodeBoxLoad(loadOf('b', { linkUse: 0.123456, loopDelayMs: 7.4 }), 99.99)
		expect(text.toString()).toBe('{"load":[["b","z1",875000,0.123,7,true,100]]}')
	})

	it('never throws', () => {
		fc.assert(
			fc.property(fc.uint8Array(), (bytes) => {
				decodeBoxLoads(Buffer.concat([Buffer.from('{"load":'), bytes]))
				return true
			}),
			{ seed: 405, numRuns: 2_000 },
		)
	})

	it('decodes any JSON without a report that breaks its limits', () => {
		fc.assert(
			fc.property(fc.array(fc.jsonValue()), (rows) => {
				const decoded = decodeBoxLoads(Buffer.from(JSON.stringify({ load: rows })))
				const isComplete =
					decoded !== undefined && decoded.reports.length + decoded.unreadableCount === rows.length
				return isComplete && decoded.reports.every(({ load }) => load.linkBytesPerSecond > 0)
			}),
			{ seed: 406, numRuns: 500 },
		)
	})
})
