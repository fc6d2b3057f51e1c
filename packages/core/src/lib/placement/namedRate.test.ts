import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type TargetName } from '../ids.js'
import { randomOf } from '../testRandom.js'
import { FleetRateGate, type FleetRate } from './FleetRateGate.js'
import { namedRate } from './namedRate.js'
import { playRate, type RateModelOptions } from './rateModel.js'

/** What a target in need bears in the window of the model: half as much again as it named, and five requests. */
function mostBorne(perSecond: number): number {
	return 1.5 * perSecond * 4 + 5
}

/** The division of a rate, without trials of boxes that have not heard of it for long. */
function divided(perSecond: number): FleetRate {
	return { ...namedRate({ perSecond, saidAt: 0 }), trial: undefined }
}

/** Two senders for each target, or one. */
function dividedBy(senders: number, perSecond: number): FleetRate {
	const division = { senders, perSecond: perSecond / senders, burst: 1, isSpaced: true }
	return { divide: () => division, trial: undefined }
}

const CALM: Omit<RateModelOptions, 'rate'> = {
	boxes: 7,
	targets: 1,
	demandPerBox: 4,
	random: randomOf(49),
	newcomers: 0,
	down: 0,
	restartsAt: 0,
	demandFrom: 0,
}

describe('the rate that a target names for all boxes together', () => {
	it.each([
		[7, 0.25],
		[7, 1.4],
		[7, 10],
		[75, 0.25],
		[75, 1.4],
		[75, 10],
		[75, 50],
		[499, 0.25],
		[499, 1.4],
		[499, 50],
	])('is kept and used by %i boxes where it is %d a second', (boxes, perSecond) => {
		const rate = divided(perSecond)
		const calm = playRate({ ...CALM, boxes, rate })
		const enough = Math.min(perSecond, (CALM.demandPerBox * boxes) / 2)
		expect(calm.mostInAWindow).toBeLessThanOrEqual(mostBorne(perSecond))
		expect(calm.perSecond).toBeLessThanOrEqual(perSecond)
		expect(calm.perSecond).toBeGreaterThan(0.7 * enough)
		const restless = playRate({ ...CALM, boxes, rate, newcomers: 1, restartsAt: 20_000 })
		expect(restless.mostInAWindow).toBeLessThanOrEqual(mostBorne(perSecond))
		const rested = playRate({ ...CALM, boxes, rate, newcomers: 1, demandFrom: 20_000 })
		expect(rested.mostInAWindow).toBeLessThanOrEqual(mostBorne(perSecond))
	})

	it('leaves fewer boxes without a target than one or two senders for each, where all of a service name it', () => {
		const play = (rate: FleetRate): number =>
			playRate({ ...CALM, boxes: 75, targets: 63, demandPerBox: 12, down: 10, rate }).starved
		expect(play(divided(1.4))).toBeLessThan(play(dividedBy(2, 1.4)))
		expect(play(dividedBy(2, 1.4))).toBeLessThan(play(dividedBy(1, 1.4)))
	})

	it('would be too much if each of many boxes had a request at once', () => {
		const rate = dividedBy(75, 10)
		const rested = playRate({ ...CALM, boxes: 75, rate, demandFrom: 20_000 })
		expect(rested.mostInAWindow).toBeGreaterThan(mostBorne(10))
	})
})

const TARGET = brandId<TargetName>('i-1')
const MINUTE_MS = 60_000
/** Senders for a target that names one request a second: (5 + 1) x (4 / 5 + 1) <= 11, and 6 would be too many. */
const SENDERS = 5

function gatesOf(boxes: number): FleetRateGate[] {
	const all = Array.from({ length: boxes }, (_, i) => brandId<BoxName>(`box-${i}`))
	return all.map((self) => new FleetRateGate({ self, boxes: () => all, isSettled: () => true }))
}

describe('a rate of which nothing is heard', () => {
	it('is tried with one request by boxes that may not send, at times of their own', () => {
		const gates = gatesOf(75)
		const rate = namedRate({ perSecond: 1, saidAt: 0 })
		const isTrying = (gate: FleetRateGate, now: number): boolean =>
			gate.shareOf(TARGET, rate, now).perSecond === 0 && gate.isOpen(TARGET, rate, now)
		expect(gates.filter((gate) => isTrying(gate, 5_000))).toEqual([])
		const soon = gates.filter((gate) => isTrying(gate, 6_000)).length
		expect(soon).toBeGreaterThan(5)
		expect(soon).toBeLessThan(25)
		expect(gates.filter((gate) => isTrying(gate, 10_000))).toHaveLength(75 - SENDERS)
		const [trying] = gates.filter((gate) => isTrying(gate, 10_000))
		trying?.take(TARGET, rate, 10_000)
		expect(trying?.isOpen(TARGET, rate, 10_000)).toBe(false)
	})

	it('of 0 is looked at all the same, and one of next to nothing once a minute', () => {
		const [gate] = gatesOf(1)
		const none = namedRate({ perSecond: 0, saidAt: 0 })
		expect([4_999, 10_000].map((now) => gate?.isOpen(TARGET, none, now))).toEqual([false, true])
		const nextToNone = namedRate({ perSecond: 0.0001, saidAt: 0 })
		const [, other] = gatesOf(20).filter(
			(known) => known.shareOf(TARGET, nextToNone, 0).perSecond === 0,
		)
		expect(other?.isOpen(TARGET, nextToNone, MINUTE_MS - 1)).toBe(false)
		expect(other?.isOpen(TARGET, nextToNone, MINUTE_MS + 5_000)).toBe(true)
	})

	it('leaves no debt of trials behind for the rate that comes after it', () => {
		const [gate] = gatesOf(1)
		for (let now = 0; now <= MINUTE_MS; now += 10_000)
			gate?.take(TARGET, namedRate({ perSecond: 0, saidAt: now - 10_000 }), now)
		const next = namedRate({ perSecond: 1, saidAt: MINUTE_MS })
		expect(gate?.opensAt(TARGET, next, MINUTE_MS)).toBeLessThanOrEqual(MINUTE_MS + 1_000)
	})

	it('is never tried before the box is known to the others', () => {
		const boxes = [brandId<BoxName>('box-0')]
		const gate = new FleetRateGate({
			self: brandId<BoxName>('box-0'),
			boxes: () => boxes,
			isSettled: () => false,
		})
		const rate = namedRate({ perSecond: 9, saidAt: 0 })
		expect([0, MINUTE_MS].map((now) => gate.isOpen(TARGET, rate, now))).toEqual([false, false])
	})
})

describe('a request that was counted and did not leave', () => {
	it('is given back', () => {
		const [gate] = gatesOf(1)
		const rate = namedRate({ perSecond: 1, saidAt: 0 })
		gate?.isOpen(TARGET, rate, 0)
		expect(gate?.isOpen(TARGET, rate, 1_000)).toBe(true)
		gate?.take(TARGET, rate, 1_000)
		expect(gate?.isOpen(TARGET, rate, 1_000)).toBe(false)
		gate?.giveBack(TARGET)
		gate?.giveBack(TARGET)
		expect(gate?.shareOf(TARGET, rate, 1_000).tokens).toBe(1)
	})
})
