import * as fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { decodeSpeeds, encodeSpeeds } from './speedCodec.js'
import { SpeedFleet } from './testSpeedFleet.js'

const TARGETS = 150
const REQUESTS_PER_SECOND = 600
const STEP_MS = 5
const LINK_BYTES_PER_SECOND = 875_000
/** Time after which all boxes must know a speed, according to the design page. */
const MAX_SPREAD_MS = 1_000

/** Numbers in [0, 1) that do not repeat soon. */
function randomNumbers(): () => number {
	let state = 1
	return () => {
		state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
		return state / 2 ** 32
	}
}

/** Answers requests at random boxes and targets; a quarter of the targets is slow, and 15% at any time slower still. */
function simulate(fleet: SpeedFleet, durationMs: number): void {
	const random = randomNumbers()
	const current = fleet.targets.map(() => 1)
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
		if (elapsedMs % 600 === 0) current.forEach((_, i) => (current[i] = random() < 0.15 ? 2.5 : 1))
		for (let i = 0; i < (REQUESTS_PER_SECOND * STEP_MS) / 1_000; i++) {
			const index = Math.floor(random() * TARGETS)
			const lasting = (index % 4 === 0 ? 1.8 : 0.83) * (0.8 + 0.4 * random())
			const box = Math.floor(random() * fleet.registries.length)
			fleet.answer(box, fleet.targets[index]!, lasting, current[index], Date.now())
		}
		vi.advanceTimersByTime(STEP_MS)
	}
}

describe('SpeedSharing', () => {
	let fleet: SpeedFleet
	beforeEach(() => vi.useFakeTimers({ now: 10_000 }))
	afterEach(() => {
		fleet.stop()
		vi.useRealTimers()
	})

	it.each([7, 75, 300])('tells all of %i boxes the speed of a target within a second', (boxes) => {
		fleet = new SpeedFleet(boxes, 3)
		fleet.start()
		vi.advanceTimersByTime(700)
		const [target, other] = fleet.targets
		// Boxes that have used no target in question yet learn of it when they use one that reports its slowdown.
		for (let box = 0; box < boxes; box++) fleet.answer(box, other!, 1, 1, Date.now())
		vi.advanceTimersByTime(MAX_SPREAD_MS)
		for (let i = 0; i < 30; i++) fleet.answer(boxes - 1, target!, 1.8, 1, Date.now())
		vi.advanceTimersByTime(MAX_SPREAD_MS)
		for (let box = 0; box < boxes; box++)
			expect(fleet.lastingAt(box, target!, Date.now()), `box ${box}`).toBeGreaterThan(1.7)
	})

	it.each([
		[7, 0.05],
		[75, 0.1],
		[300, 0.25],
	])(
		'uses a bounded part of a small link with %i boxes and 150 targets, in datagrams below 1,400 bytes',
		(boxes, maxLinkUse) => {
			fleet = new SpeedFleet(boxes, TARGETS)
			fleet.start()
			simulate(fleet, 3_000)
			fleet.sentBytes.fill(0)
			fleet.receivedBytes.fill(0)
			simulate(fleet, 5_000)
			const perSecond = (bytes: readonly number[]): number => Math.max(...bytes) / 5
			expect(fleet.largestDatagram).toBeLessThan(1_400)
			const most = Math.max(perSecond(fleet.sentBytes), perSecond(fleet.receivedBytes))
			expect(most).toBeLessThan(maxLinkUse * LINK_BYTES_PER_SECOND)
		},
		120_000,
	)

	it('sends nothing while no target reports its current slowdown', () => {
		fleet = new SpeedFleet(75, 3)
		fleet.start()
		for (let i = 0; i < 50; i++) {
			fleet.answer(i, fleet.targets[0]!, 1.5, undefined, Date.now())
			vi.advanceTimersByTime(100)
		}
		expect(Math.max(...fleet.sentBytes)).toBe(0)
		expect(fleet.sharings[0]?.gauges()).toEqual({})
		expect(fleet.sharings[0]?.status()).toBeUndefined()
	})

	it('tells a box that has just started what the others know', () => {
		fleet = new SpeedFleet(75, 3)
		fleet.start(fleet.registries.map((_, box) => box).slice(0, 74))
		const [target, other] = fleet.targets
		for (let i = 0; i < 30; i++) fleet.answer(10, target!, 1.8, 1, Date.now())
		vi.advanceTimersByTime(20_000)
		fleet.start([74])
		fleet.answer(74, other!, 1, 1, Date.now())
		vi.advanceTimersByTime(MAX_SPREAD_MS)
		expect(fleet.lastingAt(74, target!, Date.now())).toBeGreaterThan(1.6)
	})

	it('keeps what boxes measured themselves while all datagrams are lost, and continues afterwards', () => {
		fleet = new SpeedFleet(75, 3)
		fleet.start()
		const [target] = fleet.targets
		for (let box = 0; box < 75; box++) fleet.answer(box, target!, 1, 1, Date.now())
		vi.advanceTimersByTime(MAX_SPREAD_MS)
		fleet.cut(true)
		for (let i = 0; i < 300; i++) fleet.answer(20, target!, 3, 1, Date.now())
		vi.advanceTimersByTime(8_000)
		expect(fleet.lastingAt(20, target!, Date.now())).toBeGreaterThan(2)
		expect(fleet.lastingAt(40, target!, Date.now())).toBeLessThan(1.2)
		fleet.cut(false)
		// The unchanged report is sent again within 5 s.
		vi.advanceTimersByTime(6_000)
		expect(fleet.lastingAt(40, target!, Date.now())).toBeGreaterThan(2)
	})

	it('reports at most 20 targets, the slowest first', () => {
		fleet = new SpeedFleet(1, 40)
		fleet.targets.forEach((target, i) => fleet.answer(0, target, 1 + i / 20, 1, Date.now()))
		const status = fleet.sharings[0]?.status() as readonly { target: string }[]
		expect(status).toHaveLength(20)
		expect(status[0]?.target).toBe(fleet.targets[39]?.name)
		expect(Object.keys(fleet.sharings[0]?.gauges() ?? {})).toHaveLength(60)
	})
})

describe('decodeSpeeds', () => {
	const FROM = ['box', '10.0.0.1:1', 'box']

	it('returns undefined or bounded rows for any message', () => {
		const anyMessage = fc.record(
			{ speeds: fc.jsonValue(), from: fc.oneof(fc.constant(FROM), fc.jsonValue()) },
			{ requiredKeys: ['speeds'] },
		)
		fc.assert(
			fc.property(anyMessage, (message) => {
				for (const report of decodeSpeeds(Buffer.from(JSON.stringify(message)))?.reports ?? []) {
					expect(report.lasting).toBeGreaterThan(0)
					expect(report.samples).toBeGreaterThanOrEqual(0)
				}
			}),
		)
	})

	it('ignores other kinds of messages and truncated ones', () => {
		const [bytes] = encodeSpeeds({
			sender: { box: 'b' as never, address: '10.0.0.1:1', scope: 'hub' },
			reports: [
				{ incarnation: 'i@5' as never, lasting: 1.234, samples: 3.21, current: undefined },
				{ incarnation: 'j' as never, lasting: 1, samples: 0, current: { factor: 2.5, ageMs: 20 } },
			],
		})
		expect(bytes?.toString()).toBe(
			'{"speeds":[["i@5",1.23,3.2],["j",1,0,2.5,20]],"from":["b","10.0.0.1:1","hub"]}',
		)
		expect(decodeSpeeds(bytes!)?.reports).toHaveLength(2)
		expect(decodeSpeeds(bytes!.subarray(0, 50))).toBeUndefined()
		expect(decodeSpeeds(Buffer.from('{"rates":[]}'))).toBeUndefined()
		expect(decodeSpeeds(Buffer.from('{"speeds":[["i",1,1]]}'))).toBeUndefined()
	})

	it('reads the first fields of longer rows, which newer boxes may send', () => {
		const text = JSON.stringify({ speeds: [['i', 1.5, 4, 2, 10, 'new']], from: [...FROM, 'new'] })
		expect(decodeSpeeds(Buffer.from(text))?.reports).toEqual([
			{ incarnation: 'i', lasting: 1.5, samples: 4, current: { factor: 2, ageMs: 10 } },
		])
	})
})
