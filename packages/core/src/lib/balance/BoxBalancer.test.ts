import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { brandId, type BoxName, type ZoneName } from '../ids.js'
import type { Millis } from '../units.js'
import { BoxBalancer, OUT_MS } from './BoxBalancer.js'
import type { BalanceDecision, BoxLoad, PeerBoxLoad } from './BoxLoad.js'

// Guards against an account that fills one box while the other boxes of the zone are idle, and against readiness that
// drops below what the zone needs.

const ZONE = brandId<ZoneName>('z1')
const SMALL_LINK = 875_000
const TICK_MS: Millis = 250
const REPORT_INTERVAL_MS: Millis = 500
/** The load balancer probes every second and takes a box out after two misses. */
const PROBE_MS: Millis = 1_000
const MAX_MISSES = 2

interface ModelBox {
	readonly name: BoxName
	readonly balancer: BoxBalancer
	/** Link use by everything but the large account. */
	readonly baseUse: number
	isReady: boolean
	misses: number
	use: number
	report: PeerBoxLoad | undefined
	outMs: Millis
}

interface ZoneModel {
	readonly boxes: readonly ModelBox[]
	/** Time in ms that the large account spent at each box. */
	readonly served: ReadonlyMap<BoxName, Millis>
	readonly leastInRotation: number
}

interface ModelOptions {
	readonly size: number
	readonly durationMs: Millis
	/** Link use that the large account adds to the box that serves it. */
	readonly accountUse: (now: Millis) => number
	readonly baseUse?: (index: number) => number
	readonly areReportsLost?: (now: Millis) => boolean
}

/**
 * Runs a zone in which the load balancer sends one large account to the first box in rotation, as its hash does for a
 * fixed order of boxes.
 */
function runZone(options: ModelOptions): ZoneModel {
	const { size, durationMs, accountUse, baseUse = () => 0.1, areReportsLost } = options
	const boxes: ModelBox[] = Array.from({ length: size }, (_, index) => {
		const name = brandId<BoxName>(`box-${String(index).padStart(3, '0')}`)
		return {
			name,
			balancer: new BoxBalancer({ box: name, zone: ZONE }),
			baseUse: baseUse(index),
			isReady: true,
			misses: 0,
			use: 0,
			report: undefined,
			outMs: 0,
		}
	})
	const served = new Map<BoxName, Millis>()
	let leastInRotation = size
	for (let now = 0; now < durationMs; now += TICK_MS) {
		const inRotation = boxes.filter(({ misses }) => misses < MAX_MISSES)
		leastInRotation = Math.min(leastInRotation, inRotation.length)
		const server = inRotation[0] ?? boxes[0]
		if (server) served.set(server.name, (served.get(server.name) ?? 0) + TICK_MS)
		for (const box of boxes) {
			const isServing = box === server
			// Use is measured over a second.
			const present = box.baseUse + (isServing ? accountUse(now) : 0)
			box.use += (Math.min(1, present) - box.use) / 4
		}
		if (now % REPORT_INTERVAL_MS === 0 && !areReportsLost?.(now))
			for (const box of boxes) box.report = { ...loadOf(box), receivedAt: now }
		const peers = boxes.flatMap(({ report }) => report ?? [])
		for (const box of boxes) decide(box, peers, size, now)
		if (now % PROBE_MS === 0) for (const box of boxes) box.misses = box.isReady ? 0 : box.misses + 1
	}
	return { boxes, served, leastInRotation }
}

function decide(box: ModelBox, peers: readonly PeerBoxLoad[], zoneSize: number, now: Millis): void {
	const { isReady } = box.balancer.decide({ own: loadOf(box), peers, zoneSize, now })
	box.isReady = isReady
	if (!isReady) box.outMs += TICK_MS
}

function loadOf({ name, use, isReady }: ModelBox): BoxLoad {
	return {
		box: name,
		zone: ZONE,
		linkBytesPerSecond: SMALL_LINK,
		linkUse: use,
		loopDelayMs: 0,
		isReady,
	}
}

describe('BoxBalancer', () => {
	it.each([7, 75, 300])('spreads an account that fills a box over several of %i boxes', (size) => {
		const { boxes, served, leastInRotation } = runZone({
			size,
			durationMs: 40_000,
			accountUse: () => 0.9,
		})
		const busiestMs = Math.max(...served.values())
		// Without turns, one box would serve the account for the whole time.
		expect(busiestMs).toBeLessThanOrEqual(0.65 * 40_000)
		expect(served.size).toBeGreaterThanOrEqual(size < 16 ? 2 : 3)
		expect(size - leastInRotation).toBeLessThanOrEqual(Math.max(1, size / 8))
		for (const { outMs } of boxes) expect(outMs).toBeLessThanOrEqual(20_000 + TICK_MS)
	})

	it('changes nothing while no box is overloaded', () => {
		fc.assert(
			fc.property(
				fc.array(fc.double({ min: 0, max: 0.74, noNaN: true }), { minLength: 7 }),
				(uses) => {
					const { boxes } = runZone({
						size: uses.length,
						durationMs: 10_000,
						accountUse: () => 0,
						baseUse: (index) => uses[index] ?? 0,
					})
					expect(boxes.every(({ outMs }) => outMs === 0)).toBe(true)
				},
			),
			{ seed: 60, numRuns: 50 },
		)
	})

	it('stays ready while the reports of the others are lost, and takes turns again afterwards', () => {
		const during = { from: 6_000, until: 14_000 }
		const run = (durationMs: Millis): ZoneModel =>
			runZone({
				size: 26,
				durationMs,
				accountUse: (now) => (now < during.from + 5_000 ? 0 : 0.9),
				areReportsLost: (now) => now >= during.from && now < during.until,
			})
		expect(run(during.until).boxes.every(({ outMs }) => outMs === 0)).toBe(true)
		expect(run(during.until + 10_000).served.size).toBeGreaterThan(1)
	})

	it('stays ready where the other boxes are as full', () => {
		const { boxes, leastInRotation } = runZone({
			size: 26,
			durationMs: 20_000,
			accountUse: () => 0,
			baseUse: () => 0.9,
		})
		expect(leastInRotation).toBe(26)
		expect(boxes.every(({ outMs }) => outMs === 0)).toBe(true)
	})

	it('returns at the end of its absence although the load has gone', () => {
		const { boxes } = runZone({
			size: 26,
			durationMs: 20_000,
			accountUse: (now) => (now < 3_000 ? 0.9 : 0),
		})
		expect(boxes.every(({ isReady }) => isReady)).toBe(true)
		expect(boxes[0]?.outMs).toBeGreaterThanOrEqual(OUT_MS)
		expect(boxes[0]?.outMs).toBeLessThanOrEqual(OUT_MS + TICK_MS)
	})

	it('closes connections only while it is out of readiness', () => {
		const balancer = new BoxBalancer({ box: brandId<BoxName>('a'), zone: ZONE })
		const decisions: BalanceDecision[] = []
		for (let now = 0; now < 20_000; now += TICK_MS) {
			const load = { zone: ZONE, linkBytesPerSecond: SMALL_LINK, loopDelayMs: 0, isReady: true }
			const own = { ...load, box: brandId<BoxName>('a'), linkUse: 0.9 }
			const peers = ['b', 'c', 'd'].map((name) => ({
				...load,
				box: brandId<BoxName>(name),
				linkUse: 0.1,
				receivedAt: now,
			}))
			decisions.push(balancer.decide({ own, peers, zoneSize: 4, now }))
		}
		expect(decisions.some(({ closeShare }) => closeShare > 0)).toBe(true)
		for (const { isReady, closeShare } of decisions) expect(isReady ? closeShare : 0).toBe(0)
	})
})
