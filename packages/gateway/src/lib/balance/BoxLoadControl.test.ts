import { EventEmitter } from 'node:events'
import { createServer, type Server } from 'node:http'
import { brandId, type BoxName, type LogEvent, type ZoneName } from '@stallwing/core'
import { MemoryStore } from '@stallwing/standins'
import { Metrics } from '@stallwing/telemetry'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { findBodyRefusal } from '../BodyGuard.js'
import type { CallerRequest } from '../CallerRequest.js'
import type { DatagramHandler, PeerDatagrams } from '../PeerDatagrams.js'
import { sleep } from '../sleep.js'
import { encodeBoxLoad } from './boxLoadCodec.js'
import type { BoxLoadControl } from './BoxLoadControl.js'
import { createBoxLoadControl } from './BoxLoadControl.js'

const ZONE = brandId<ZoneName>('z1')
const LINK = 100_000
const SENDER = { address: '10.0.0.2', family: 'IPv4', port: 7, size: 0 } as const

/** Stands in for the datagrams of a box. */
class FakeDatagrams {
	onTraffic: PeerDatagrams['onTraffic']
	readonly sent: string[] = []
	private handler: DatagramHandler = () => false
	onMessage(handler: DatagramHandler): void {
		this.handler = handler
	}
	send(bytes: Buffer): void {
		this.sent.push(bytes.toString())
	}
	receive(bytes: Buffer): void {
		this.handler(bytes, SENDER)
	}
}

describe('BoxLoadControl', () => {
	let datagrams: FakeDatagrams
	let logEvents: LogEvent[]
	let control: BoxLoadControl
	let isStopping: boolean
	beforeEach(() => {
		vi.useFakeTimers()
		datagrams = new FakeDatagrams()
		logEvents = []
		isStopping = false
		control = create(LINK) ?? fail()
		control.useDatagrams(datagrams as unknown as PeerDatagrams)
		control.start()
	})
	afterEach(() => {
		control.stop()
		vi.useRealTimers()
	})

	function create(linkBytesPerSecond: number | undefined): BoxLoadControl | undefined {
		const store = new MemoryStore({ now: () => Date.now(), sleep })
		return createBoxLoadControl({
			gateway: {
				box: brandId<BoxName>('self'),
				zone: ZONE,
				capacity: { cores: 1, memoryBytes: undefined, linkBytesPerSecond },
				store: store.connection('self'),
				now: () => Date.now(),
				log: (event) => logEvents.push(event),
				metrics: new Metrics(),
			},
			membership: { zonePeers: ['10.0.0.2:7', '10.0.0.3:7'], zoneSize: 3 },
			loopDelay: { sustainedMs: 0 },
			isReady: () => control.isReady && !isStopping,
			isStopping: () => isStopping,
		})
	}

	/** Runs for a time in which the box uses a share of its link and the others report theirs. */
	function run(ms: number, linkUse: number, peerUse: number | undefined): boolean[] {
		const readiness: boolean[] = []
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 250) {
			datagrams.onTraffic?.(0, (linkUse * LINK) / 4)
			for (const box of peerUse === undefined ? [] : ['b', 'c']) reportLoad(box, peerUse ?? 0)
			vi.advanceTimersByTime(250)
			readiness.push(control.isReady)
		}
		return readiness
	}

	function reportLoad(box: string, linkUse: number, delayMs = 0): void {
		const load = {
			box: brandId<BoxName>(box),
			zone: ZONE,
			linkBytesPerSecond: LINK,
			linkUse,
			loopDelayMs: 0,
			isReady: true,
		}
		datagrams.receive(encodeBoxLoad(load, Date.now() - delayMs))
	}

	it('does not exist where the settings specify no link', () => {
		expect(create(undefined)).toBeUndefined()
	})

	it('stays ready and logs nothing while it is not overloaded', () => {
		expect(run(20_000, 0.6, 0.1)).not.toContain(false)
		expect(logEvents).toEqual([])
		// Every 500 ms to two boxes, because its link use is over 0.5.
		expect(datagrams.sent.length).toBeGreaterThanOrEqual(76)
		expect(datagrams.sent.length).toBeLessThanOrEqual(82)
	})

	it('leaves readiness for a bounded time when overloaded, and logs its inputs and their age', () => {
		const readiness = run(40_000, 1, 0.1)
		const outTicks = readiness.filter((isReady) => !isReady).length
		// Four times for five seconds, half of the time.
		expect(outTicks).toBeGreaterThanOrEqual(76)
		expect(outTicks).toBeLessThanOrEqual(80)
		expect(readiness.at(-1)).toBe(true)
		const moves = logEvents.filter(({ name }) => name === 'callers-moved')
		expect(moves[0]?.fields).toMatchObject({
			step: 'left-readiness',
			zoneSize: 3,
			reports: 2,
			meanPeerUse: 0.1,
		})
		expect(moves[0]?.fields?.oldestReportMs).toBeLessThanOrEqual(250)
		expect(moves.length).toBeLessThanOrEqual(8)
		const { stallwing_callers_moving_out_ms: outMs } = control.gauges()
		expect(outMs).toBe(outTicks * 250)
	})

	it('stays ready without reports of others, or on reports that are older than five seconds', () => {
		expect(run(10_000, 1, undefined)).not.toContain(false)
		run(1_000, 0, 0.1)
		run(5_250, 0, undefined)
		expect(run(5_000, 1, undefined)).not.toContain(false)
	})

	it('decides nothing during a planned stop', () => {
		isStopping = true
		expect(run(10_000, 1, 0.1)).not.toContain(false)
		expect(logEvents).toEqual([])
	})

	describe('with reports that arrive late', () => {
		/** Runs for a time in which the delay of others' reports grows by 200 ms at each step up to its maximum. */
		function runWithDelay(ms: number, linkUse: number, maxDelayMs: number): void {
			for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 250) {
				const delayMs = Math.min(maxDelayMs, 2 + (elapsedMs / 250) * 200)
				for (const box of ['b', 'c']) reportLoad(box, 0.9, delayMs)
				run(250, linkUse, undefined)
			}
		}

		it('learns how long input waits on a full link, and counts it as bytes that wait', () => {
			runWithDelay(3_000, 0.9, 2)
			expect(control.linkDelayMs).toBe(0)
			runWithDelay(2_000, 0.95, 802)
			expect(control.linkDelayMs).toBe(800)
			// 80,000 bytes wait, which takes longer than half of the latency goal.
			const request = { route: { latencyGoalMs: 1_200 } } as CallerRequest
			expect(findBodyRefusal(control.bodyGuards, request, '500')?.kind).toBe('overloaded')
			runWithDelay(2_000, 0.95, 2)
			expect(control.linkDelayMs).toBe(0)
			expect(findBodyRefusal(control.bodyGuards, request, '500')).toBeUndefined()
		})

		it('assumes no delay while its own link has capacity, whatever others send', () => {
			runWithDelay(3_000, 0.4, 2)
			runWithDelay(5_000, 0.4, 5_000)
			expect(control.linkDelayMs).toBe(0)
		})
	})

	it('sends work reports less often while the link is used', () => {
		const intervals = [0.3, 0.7, 0.95].map((use) => {
			run(2_000, use, undefined)
			return control.workReportIntervalMs
		})
		expect(intervals).toEqual([25, 100, 200])
	})

	it('does not keep its timer after a stop', () => {
		control.stop()
		expect(vi.getTimerCount()).toBe(0)
	})

	it('reports a bounded number of gauges and a status that can be serialised', () => {
		run(2_000, 0.5, 0.2)
		const gauges = control.gauges()
		expect(gauges.stallwing_link_use).toBeCloseTo(0.5)
		expect(gauges['stallwing_link_class_use{class="boxes"}']).toBeCloseTo(0.5)
		expect(gauges.stallwing_link_zone_free_bytes_per_second).toBe(160_000)
		expect(Object.keys(gauges).length).toBeLessThan(30)
		expect(JSON.parse(JSON.stringify(control.status()))).toMatchObject({
			decision: 'within-limits',
			reports: 2,
		})
	})

	it('follows the requests of a server', () => {
		const server: Server = createServer()
		control.watchCallers(server)
		const socket = Object.assign(new EventEmitter(), { remoteAddress: '10.0.0.9' })
		server.emit('connection', socket)
		expect(control.status()).toMatchObject({ callerConnections: 1 })
		socket.emit('close')
		expect(control.status()).toMatchObject({ callerConnections: 0 })
		server.close()
	})
})

function fail(): never {
	throw new Error('no control')
}
