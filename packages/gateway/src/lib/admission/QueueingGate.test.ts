import { brandId, type PlaceUse, type ServiceName } from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { decodeDemands, encodeDemands } from './demandCodec.js'
import { QueueingGate } from './QueueingGate.js'
import { gateRequest } from './testGateRequest.js'

const SERVICE = brandId<ServiceName>('service')

describe('QueueingGate', () => {
	let use: PlaceUse
	let gate: QueueingGate
	let logged: string[]
	let measurements: number
	beforeEach(() => {
		vi.useFakeTimers({ now: 0 })
		use = {
			places: 4,
			own: 0,
			reported: 0,
			peers: 0,
			reportedAgeMs: 0,
			peersAgeMs: 0,
			isKnown: true,
		}
		logged = []
		measurements = 0
		gate = new QueueingGate({
			registry: {
				placeUse: () => {
					measurements++
					return use
				},
			},
			boxCount: () => 1,
			metrics: new Metrics(),
			now: () => Date.now(),
			random: () => 0.5,
			log: ({ name }) => logged.push(name),
		})
	})
	afterEach(() => {
		gate.stop()
		vi.useRealTimers()
	})

	it('admits in the same step while places are free, without a timer, a log line or many measurements', () => {
		for (let i = 0; i < 1_000; i++) {
			const entry = gate.enter(gateRequest(`r${i}`), 1_000)
			expect(entry.outcome).toEqual({ kind: 'admitted', waitedMs: 0 })
			entry.leave()
		}
		expect([vi.getTimerCount(), logged.length, measurements]).toEqual([0, 0, 1])
	})

	it('starts a waiting request when a place becomes free', async () => {
		const entries = [0, 1, 2, 3].map((i) => gate.enter(gateRequest(`r${i}`), 1_000))
		const waiting = gate.enter(gateRequest('waiting'), 1_000)
		expect(waiting.outcome).toBeInstanceOf(Promise)
		expect(logged).toEqual(['service-contended', 'request-queued'])
		for (const entry of entries) entry.leave()
		expect(await waiting.outcome).toEqual({ kind: 'admitted', waitedMs: 0 })
	})

	it('frees the entry of a caller that leaves while it waits', async () => {
		use = { ...use, own: 100 }
		const waiting = gate.enter(gateRequest('r'), 1_000)
		expect(gate.gauges()['stallwing_requests_waiting{service="service",rank="0"}']).toBe(1)
		waiting.leave()
		waiting.leave()
		expect(gate.gauges()['stallwing_requests_waiting{service="service",rank="0"}']).toBe(0)
		expect(await waiting.outcome).toMatchObject({ kind: 'refused' })
	})

	it('answers all waiting requests on a planned stop', async () => {
		use = { ...use, own: 100 }
		const waiting = gate.enter(gateRequest('r'), 1_000)
		gate.stop()
		expect(await waiting.outcome).toMatchObject({ kind: 'refused', reason: 'stopping' })
		expect(vi.getTimerCount()).toBe(0)
	})

	it('refuses a waiting request once it could no longer be answered within its latency goal', async () => {
		use = { ...use, own: 100 }
		const waiting = gate.enter(gateRequest('r', { latencyGoalMs: 200 }), 5_000)
		await vi.advanceTimersByTimeAsync(250)
		expect(await waiting.outcome).toMatchObject({ reason: 'cannot-start-in-time' })
	})

	it('stops its timer once no request has waited for some seconds', async () => {
		use = { ...use, own: 100 }
		gate.enter(gateRequest('r'), 1_000).leave()
		expect(vi.getTimerCount()).toBe(1)
		await vi.advanceTimersByTimeAsync(3_000)
		expect(vi.getTimerCount()).toBe(0)
		expect(logged.at(-1)).toBe('service-contended')
	})

	it('reports the demand of contended services only', async () => {
		gate.enter(gateRequest('free'), 1_000)
		expect(gate.contendedDemands(1_000).size).toBe(0)
		use = { ...use, own: 100 }
		await vi.advanceTimersByTimeAsync(100)
		gate.enter(gateRequest('r'), 1_000)
		expect([...gate.contendedDemands(1_000).keys()]).toEqual([SERVICE])
	})
})

describe('demandCodec', () => {
	it('decodes what it encoded', () => {
		const demand = { ranks: [{ rank: 0, workPerMs: 1.5 }], usualWorkPerMs: 0.25 }
		const bytes = Buffer.from(encodeDemands(brandId('b'), new Map([[SERVICE, demand]])))
		expect(decodeDemands(bytes)).toEqual([{ box: 'b', service: SERVICE, demand }])
	})

	it('skips malformed rows and leaves other kinds of messages to their readers', () => {
		const rows = [['b', 'service', -1, []], ['b'], 7, ['b', 'service', 1, [['x', 1]]]]
		const bytes = Buffer.from(JSON.stringify({ demand: rows }))
		expect(decodeDemands(bytes)).toMatchObject([{ demand: { ranks: [] } }])
		expect(decodeDemands(Buffer.from('{"rates":[]}'))).toBeUndefined()
		expect(decodeDemands(Buffer.from('{"demand":[[1,'))).toBeUndefined()
	})
})
