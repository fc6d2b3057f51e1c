import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { brandId, type BoxName } from '../ids.js'
import type { AttemptHandle } from './AttemptHandle.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetEntry } from './TargetEntry.js'
import { SERVICE, entry, query } from './testEntries.js'

const START_TIME = 1_800_000_000_000
const BOX = brandId<BoxName>('box-0')
const BOXES = [BOX]
const COLD_MS = 3_000

/** A registry in a fleet of one box, which has the whole share of each rate limit. */
function registryOf(...entries: TargetEntry[]): TargetRegistry {
	const coldLimits = { overrun: 1.5, tolerance: 5 }
	const rateLimits = { self: BOX, boxes: () => BOXES, isSettled: () => true, coldLimits }
	const registry = new TargetRegistry({ rateLimits })
	registry.replace(entries, 0, START_TIME)
	return registry
}

function startAttempt(registry: TargetRegistry, name: string, now: number): AttemptHandle {
	const placement = registry.choose(query(), now)
	expect(placement?.target.name).toBe(name)
	return registry.beginAttempt(placement!, undefined, now)
}

function chosen(registry: TargetRegistry, now: number): string | undefined {
	return registry.choose(query(), now)?.target.name
}

/** Number of requests that the registry allows in a time, trying one every 10 ms. */
function sentIn(registry: TargetRegistry, from: number, until: number): number {
	let sent = 0
	for (let now = from; now < until; now += 10) {
		const placement = registry.choose(query(), now)
		if (!placement) continue
		registry.beginAttempt(placement, undefined, now).end('good', now)
		sent++
	}
	return sent
}

describe('a target that advertises a rate limit', () => {
	it('receives requests at that rate, and other targets receive the rest', () => {
		const registry = registryOf(entry('a'))
		startAttempt(registry, 'a', 0).noteRate(2, 0)
		expect(sentIn(registry, 0, 10_000)).toBeGreaterThan(18)
		expect(sentIn(registry, 10_000, 20_000)).toBeLessThanOrEqual(20)
		registry.replace([entry('a'), entry('bb')], 20_000)
		expect(sentIn(registry, 20_000, 21_000)).toBe(100)
	})

	it('closes its service until the limit allows the next request', () => {
		const registry = registryOf(entry('a'))
		startAttempt(registry, 'a', 0).noteRate(2, 0)
		expect(chosen(registry, 100)).toBeUndefined()
		expect(registry.closedCause(SERVICE, 100)).toEqual({ cause: 'rate', opensInMs: 500 })
		expect(registry.closedCause(SERVICE, 500)).toEqual({ cause: 'rate', opensInMs: 100 })
		expect(chosen(registry, 600)).toBe('a')
		expect(registry.closedCause(SERVICE, 600)).toBeUndefined()
	})

	it('and requested a backoff stays closed until the backoff ends', () => {
		const registry = registryOf(entry('a'))
		const handle = startAttempt(registry, 'a', 0)
		handle.noteByte(0)
		handle.noteRate(2, 0)
		handle.noteBackoff(3_000, 0)
		handle.end('full', 0)
		expect(registry.closedCause(SERVICE, 100)).toEqual({ cause: 'backoff', opensInMs: 2_900 })
	})

	it('is reported as changed only when the limit changes or ends', () => {
		const registry = registryOf(entry('a'))
		const reports: [number, number | undefined][] = [
			[0, 2],
			[1_000, 2],
			[2_000, 3],
			[3_000, undefined],
			[4_000, undefined],
			[5_000, 3],
		]
		const changes = reports.map(([at, rate]) => {
			const isChange = startAttempt(registry, 'a', at).noteRate(rate, at + 1)
			// The bucket starts to refill when the target is first considered.
			chosen(registry, at + 1)
			return isChange
		})
		expect(changes).toEqual([true, false, true, true, false, true])
	})

	it('keeps the limit after a response without one to a request sent before the limit was known', () => {
		const registry = registryOf(entry('a'))
		const [early, late] = [0, 5].map((now) => startAttempt(registry, 'a', now))
		late?.noteRate(2, 20)
		expect(chosen(registry, 20)).toBeUndefined()
		expect(early?.noteRate(undefined, 30)).toBe(false)
		expect(chosen(registry, 30)).toBeUndefined()
		const next = startAttempt(registry, 'a', 600)
		expect(next.noteRate(undefined, 640)).toBe(true)
		expect(chosen(registry, 640)).toBe('a')
	})

	it('keeps the limit after an unreadable one, which is reported once for each text', () => {
		const registry = registryOf(entry('a'))
		const handle = startAttempt(registry, 'a', 0)
		handle.noteRate(2, 0)
		const changes = ['few', 'few', 'some'].map((text) => handle.noteUnreadableRate(text))
		expect(changes).toEqual([true, false, true])
		expect(chosen(registry, 0)).toBeUndefined()
	})

	it('does not receive a request that was waiting for a connection', () => {
		const registry = registryOf(entry('a'))
		const [first, waiting, other] = [0, 0, 0].map((now) => startAttempt(registry, 'a', now))
		first?.noteRate(1, 0)
		expect(waiting?.maySend(10)).toBe(false)
		expect(waiting?.maySend(1_010)).toBe(true)
		expect(other?.maySend(1_010)).toBe(false)
	})

	it('can receive another request in place of one that was not sent, once', () => {
		const registry = registryOf(entry('a'))
		startAttempt(registry, 'a', 0).noteRate(1, 0)
		chosen(registry, 0)
		const handle = startAttempt(registry, 'a', 1_000)
		expect(handle.maySend(1_005)).toBe(true)
		expect(chosen(registry, 1_010)).toBeUndefined()
		handle.noteUnsent()
		handle.noteUnsent()
		handle.end('cancelled', 1_010)
		startAttempt(registry, 'a', 1_010)
		expect(chosen(registry, 1_010)).toBeUndefined()
	})

	it('loses the limit after a restart, but not when its entry expires and reappears', () => {
		const registry = registryOf(entry('a', { bornAt: START_TIME - 60_000 }))
		startAttempt(registry, 'a', 0).noteRate(0, 0)
		registry.replace([], 100, START_TIME + 100)
		registry.replace(
			[entry('a', { bornAt: START_TIME - 60_000, revision: { era: 1, number: 5 } })],
			200,
			START_TIME + 200,
		)
		expect(chosen(registry, 200)).toBeUndefined()
		registry.replace(
			[entry('a', { bornAt: START_TIME + 300, revision: { era: 1, number: 6 } })],
			400,
			START_TIME + 400,
		)
		expect(chosen(registry, 400)).toBe('a')
	})

	it('and is cold receives requests at the lower of both limits', () => {
		const coldStarts = new Map([[SERVICE, { ms: COLD_MS, requestsPerSecond: 100 }]])
		const sent = (perSecond: number): number => {
			const registry = registryOf(entry('a', { coldMs: COLD_MS }))
			registry.noteRate({ name: entry('a').name, bornAt: undefined }, perSecond, 0)
			registry.setColdStarts(coldStarts)
			return sentIn(registry, 0, COLD_MS)
		}
		expect(sent(2)).toBeLessThanOrEqual(2 * 3 + 1)
		expect(sent(1_000)).toBeLessThan(300)
	})

	it('is shown to operators with the share of this box', () => {
		const registry = registryOf(entry('a'))
		startAttempt(registry, 'a', 0).noteRate(2, 0)
		const [row] = registry.noticeStatuses(250)
		expect(row?.rate).toEqual({
			target: 'a',
			perSecond: 2,
			ageMs: 250,
			share: { perSecond: 2, tokens: 0 },
		})
		expect(registry.exhaustedRateLimits(SERVICE, 250).map(({ target }) => target)).toEqual(['a'])
	})
})

describe('rate limits that boxes share with each other', () => {
	it('apply in the order of their report times, not of their arrival', () => {
		const reportLists = fc.array(
			fc.record({
				perSecond: fc.option(fc.double({ min: 0, max: 9, noNaN: true }), { nil: undefined }),
				reportedAt: fc.nat(1_000),
			}),
			{ minLength: 1, maxLength: 12 },
		)
		fc.assert(
			fc.property(reportLists, (reports) => {
				const { name } = entry('a')
				const target = { name, bornAt: undefined }
				const latest = reports.reduce((a, b) => (b.reportedAt >= a.reportedAt ? b : a))
				const registry = registryOf(entry('a'))
				registry.noteRate(target, 1, -1)
				for (const { perSecond, reportedAt } of reports)
					registry.noteRate(target, perSecond, reportedAt)
				const [row] = registry.noticeStatuses(1_000)
				expect(row?.rate?.perSecond).toBe(latest.perSecond)
			}),
			{ seed: 49, numRuns: 500 },
		)
	})
})
