import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type TargetName, type ZoneName } from '../ids.js'
import type { DeclaredWork } from '../traffic/DeclaredWork.js'
import type { ColdStart } from './coldRateLimit.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetEntry } from './TargetEntry.js'
import { incarnationOf, type TargetIncarnation } from './TargetIncarnation.js'
import { SERVICE, ZONE, entry, query } from './testEntries.js'

const OTHER_ZONE = brandId<ZoneName>('z2')
const BOX = brandId<BoxName>('box')
const COLD_START: ColdStart = { ms: 3_000, requestsPerSecond: 7.7 }

function prompt(session: string, own: string): DeclaredWork {
	return {
		inputTokens: 9_000,
		maxOutputTokens: 50,
		parts: [
			{ id: 'system', tokens: 2_500 },
			{ id: session, tokens: 3_800 },
			{ id: own, tokens: 2_700 },
		],
	}
}

function registryOf(...entries: TargetEntry[]): TargetRegistry {
	const registry = new TargetRegistry()
	registry.replace(entries, 0)
	return registry
}

function incarnations(name: string): ReadonlySet<TargetIncarnation> {
	return new Set([brandId<TargetIncarnation>(name)])
}

/** A registry with rate limits for cold targets, in a fleet of one box. */
function rateLimitedRegistry(): TargetRegistry {
	const boxes = [BOX]
	const coldLimits = { overrun: 1.5, tolerance: 5 }
	const rateLimits = { self: BOX, boxes: () => boxes, isSettled: () => true, coldLimits }
	const registry = new TargetRegistry({ rateLimits })
	registry.setColdStarts(new Map([[SERVICE, COLD_START]]))
	return registry
}

describe('TargetRegistry', () => {
	it('does not choose targets that are leaving, removed, already tried or full', () => {
		const registry = registryOf(entry('a'), entry('bb', { leaving: true }), entry('ccc'))
		registry.replace([entry('a'), entry('bb', { leaving: true })], 1)
		expect(registry.choose(query(), 1)?.target.name).toBe('a')
		const tried = new Set([brandId<TargetIncarnation>('a')])
		expect(registry.choose(query({ tried }), 1)).toBeUndefined()
		expect(registry.choose(query({ isFull: () => true }), 1)).toBeUndefined()
	})

	it('prefers targets that are not quiet if one of them has to go on with a silent request', () => {
		const registry = registryOf(entry('a'), entry('bb'), entry('ccc'))
		for (const name of ['a', 'bb']) {
			const others = ['a', 'bb', 'ccc'].filter((other) => other !== name)
			const tried = new Set(others.flatMap((other) => [...incarnations(other)]))
			const handle = registry.beginAttempt(registry.choose(query({ tried }), 0)!, undefined, 0)
			handle.noteByte(name === 'a' ? 100 : 900)
		}
		expect(registry.choose(query(), 1_000)?.candidates).toBe(3)
		expect(registry.choose(query({ aliveSince: 500 }), 1_000)?.candidates).toBe(2)
		const tried = new Set([...incarnations('bb'), ...incarnations('ccc')])
		expect(registry.choose(query({ aliveSince: 500, tried }), 1_000)?.target.name).toBe('a')
	})

	describe('a target from which one request has received nothing for 1 s', () => {
		const registry = registryOf(entry('a'), entry('bb'))
		const silent = registry.choose(query({ tried: incarnations('bb') }), 0)!
		const other = registry.choose(query({ tried: incarnations('bb') }), 0)!
		const handles = [silent, other].map((to) => registry.beginAttempt(to, undefined, 0))

		it('gets no others for some time if no other one has either', () => {
			handles[0]?.noteByte(10)
			handles[0]?.noteSilent(1_000, 1_010)
			expect(registry.choose(query(), 1_020)?.candidates).toBe(1)
			expect(registry.choose(query({ tried: incarnations('bb') }), 1_020)?.target.name).toBe('a')
			expect(registry.choose(query(), 4_000)?.candidates).toBe(2)
		})

		it('gets others again once it sends something', () => {
			handles[0]?.noteSilent(1_000, 5_000)
			expect(registry.choose(query(), 5_010)?.candidates).toBe(1)
			handles[1]?.noteByte(5_020)
			expect(registry.choose(query(), 5_030)?.candidates).toBe(2)
		})

		it('gets others if it goes on with one of them', () => {
			handles[1]?.noteByte(6_700)
			handles[0]?.noteSilent(1_000, 7_000)
			expect(registry.choose(query(), 7_010)?.candidates).toBe(2)
		})
	})

	it('avoids a target that rejects requests, for some time', () => {
		// A target that rejects everything has no load, so its cost must rise through its failures.
		const registry = registryOf(entry('a'), entry('bb'))
		const busyPlacements = Array.from({ length: 4 }, () =>
			registry.choose(query({ tried: incarnations('a') }), 0)!,
		)
		for (const placement of busyPlacements) registry.beginAttempt(placement, undefined, 0)
		for (let i = 0; i < 3; i++) {
			const placement = registry.choose(query(), i)
			if (placement?.target.name !== 'a') break
			registry.beginAttempt(placement, undefined, i).end('full', i)
		}
		expect(registry.choose(query(), 10)?.target.name).toBe('bb')
		expect(registry.choose(query(), 60_000)?.target.name).toBe('a')
	})

	it('returns which targets were added, are leaving and were removed', () => {
		const registry = registryOf(entry('a'), entry('bb'))
		const changes = registry.replace([entry('a', { leaving: true }), entry('ccc')], 1)
		expect(changes.added.map((target) => target.name)).toEqual(['ccc'])
		expect(changes.leaving.map((target) => target.name)).toEqual(['a'])
		expect(changes.removed.map((target) => target.name)).toEqual(['bb'])
	})

	it('chooses the same target for all prompts of a session, on every box', () => {
		const entries = ['a', 'bb', 'ccc', 'dddd'].map((name) => entry(name))
		for (let session = 0; session < 20; session++) {
			const placements = [1, 2, 3].map((box) =>
				registryOf(...entries).choose(query({ work: prompt(`s${session}`, `own-${box}`) }), 0),
			)
			expect(new Set(placements.map((placement) => placement?.target.name)).size).toBe(1)
		}
	})

	it('avoids the affinity target of a prompt while it has much pending prefill work', () => {
		const registry = registryOf(entry('a'), entry('bb'))
		const work = prompt('session', 'own')
		const affinityTarget = registry.choose(query({ work }), 0)
		const reportedWork = [
			{
				incarnation: incarnationOf(affinityTarget!.target),
				prefillTokens: 90_000,
				openRequests: 10,
			},
		]
		registry.notePeerWork(brandId<BoxName>('other'), reportedWork, 0)
		expect(registry.choose(query({ work }), 1)?.target.name).not.toBe(affinityTarget?.target.name)
		expect(registry.choose(query({ work }), 5_000)?.target.name).toBe(affinityTarget?.target.name)
	})

	it('ejects an unreachable target and tries it again later', () => {
		const registry = registryOf(entry('a'), entry('bb', { zone: brandId<ZoneName>('z2') }))
		const placement = registry.choose(query(), 0)
		expect(placement?.target.name).toBe('a')
		registry.beginAttempt(placement!, undefined, 0).end('unreachable', 0)
		expect(registry.choose(query(), 1)?.target.name).toBe('bb')
		expect(registry.choose(query(), 60_000)?.target.name).toBe('a')
	})

	it('chooses only targets in zones where the request may run', () => {
		const registry = registryOf(entry('a'), entry('bb', { zone: OTHER_ZONE }))
		const mayRunIn = (zone: ZoneName): boolean => zone === OTHER_ZONE
		expect(registry.choose(query({ mayRunIn }), 0)?.target.name).toBe('bb')
		expect(registry.choose(query({ mayRunIn: () => false }), 0)).toBeUndefined()
	})

	it('prefers a target with an idle connection if other costs are equal', () => {
		const registry = registryOf(entry('a'), entry('bb'))
		const hasIdleConnection = (target: TargetName): boolean => target === 'bb'
		expect(registry.choose(query({ hasIdleConnection }), 0)?.target.name).toBe('bb')
		const reportedWork = [
			{ incarnation: brandId<TargetIncarnation>('bb'), prefillTokens: 0, openRequests: 8 },
		]
		registry.notePeerWork(brandId<BoxName>('other'), reportedWork, 0)
		expect(registry.choose(query({ hasIdleConnection }), 1)?.target.name).toBe('a')
	})

	it('avoids a target whose response is overdue', () => {
		const registry = registryOf(entry('a'), entry('bb', { zone: brandId<ZoneName>('z2') }))
		const placement = registry.choose(query(), 0)
		const attempt = registry.beginAttempt(placement!, undefined, 0)
		expect(registry.choose(query(), 5_000)?.target.name).toBe('bb')
		attempt.noteByte(5_000)
		attempt.end('good', 5_000)
		expect(registry.choose(query(), 5_001)?.target.name).toBe('bb')
		expect(registry.choose(query(), 5_001)).toBeDefined()
	})

	it('counts only failures above the lowest failure rate of the service', () => {
		const registry = registryOf(entry('a'), entry('bb'))
		for (let i = 0; i < 10; i++) {
			for (const name of ['a', 'bb']) {
				const tried = new Set([brandId<TargetIncarnation>(name === 'a' ? 'bb' : 'a')])
				registry.beginAttempt(registry.choose(query({ tried }), i)!, undefined, i).end('failed', i)
			}
		}
		const placement = registry.choose(query(), 10)!
		expect(placement.cost.ms).toBeLessThan(100)
	})

	it('sums recent work reports of the selected boxes', () => {
		const registry = new TargetRegistry()
		registry.replace([entry('a')], 0)
		const row = (open: number) => [
			{
				incarnation: brandId<TargetIncarnation>('a'),
				prefillTokens: 100 * open,
				openRequests: open,
			},
		]
		registry.notePeerWork(brandId<BoxName>('box-1'), row(1), 0)
		registry.notePeerWork(brandId<BoxName>('box-2'), row(2), 0)
		expect(registry.openWork(() => true, 10)).toEqual(row(3))
		expect(registry.openWork((box) => box === 'box-2', 10)).toEqual(row(2))
		expect(registry.openWork(() => true, 5_000)).toEqual([])
	})

	it('does not choose targets in cordoned zones, and reports why a service is closed', () => {
		const registry = registryOf(entry('a'), entry('bb', { zone: OTHER_ZONE }))
		registry.replaceCordons([{ zone: ZONE, revision: { era: 1, number: 2 } }], 10)
		expect(registry.choose(query(), 10)?.target.name).toBe('bb')
		expect(registry.closedCause(SERVICE, 10)).toBeUndefined()
		registry.replaceCordons(
			[
				{ zone: ZONE, revision: { era: 1, number: 2 } },
				{ zone: OTHER_ZONE, revision: { era: 1, number: 3 } },
			],
			20,
		)
		expect(registry.choose(query(), 20)).toBeUndefined()
		expect(registry.closedCause(SERVICE, 20)).toEqual({ cause: 'cordoned', opensInMs: undefined })
		expect(registry.cordonAgeMs(ZONE, 30)).toBe(20)
		registry.replaceCordons([], 40)
		expect(registry.closedCause(SERVICE, 40)).toBeUndefined()
	})

	it('does not send a request if its target was cordoned, is leaving or was removed since the choice', () => {
		const registry = registryOf(entry('a'))
		const attempt = registry.beginAttempt(registry.choose(query(), 0)!, undefined, 0)
		expect(attempt.maySend(1)).toBe(true)
		registry.replaceCordons([{ zone: ZONE, revision: { era: 1, number: 2 } }], 2)
		expect(attempt.maySend(3)).toBe(false)
		registry.replaceCordons([], 4)
		registry.replace([entry('a', { leaving: true, revision: { era: 1, number: 5 } })], 5)
		expect(attempt.maySend(6)).toBe(false)
		registry.replace([], 7)
		expect(attempt.maySend(8)).toBe(false)
	})

	it('treats targets as cold after the cordon of their zone was lifted, regardless of their entries', () => {
		const registry = rateLimitedRegistry()
		registry.replace([entry('a')], 0)
		expect(sentAtOnce(registry, 0)).toBe(50)
		registry.replaceCordons([{ zone: ZONE, revision: { era: 1, number: 2 } }], 10)
		registry.replaceCordons([], 20)
		expect(sentAtOnce(registry, 20)).toBeLessThan(6)
		expect(registry.coldCount(20)).toBe(1)
		expect(sentAtOnce(registry, 20 + COLD_START.ms)).toBe(50)
	})

	it('limits the requests to a target that an entry or a response reports as cold', () => {
		const registry = rateLimitedRegistry()
		registry.replace([entry('a')], 0)
		registry.replace([entry('a', { coldMs: 2_000, revision: { era: 1, number: 2 } })], 1_000)
		expect(sentAtOnce(registry, 1_000)).toBeLessThan(6)
		expect(registry.closedCause(SERVICE, 1_000)).toEqual({ cause: 'cold', opensInMs: 2_000 })
		registry.replace([entry('a', { revision: { era: 1, number: 3 } })], 2_000)
		expect(sentAtOnce(registry, 2_000)).toBe(50)
		registry.beginAttempt(registry.choose(query(), 2_000)!, undefined, 2_000).noteCold(500, 2_100)
		expect(sentAtOnce(registry, 2_100)).toBeLessThan(6)
		expect(sentAtOnce(registry, 2_600)).toBe(50)
	})

	it('does not extend the cold phase when the same entry is read again', () => {
		const registry = rateLimitedRegistry()
		const cold = entry('a', { coldMs: 2_000 })
		registry.replace([cold], 0)
		for (const now of [500, 1_000, 1_500]) registry.replace([cold], now)
		expect(registry.coldCount(1_999)).toBe(1)
		expect(registry.coldCount(2_001)).toBe(0)
	})

	describe('a target that restarts under the same name', () => {
		const first = entry('a', { bornAt: 1_000, revision: { era: 1, number: 5 } })
		const second = entry('a', {
			bornAt: 9_000,
			revision: { era: 1, number: 9 },
			address: '10.0.0.9:9',
			zone: OTHER_ZONE,
		})

		it('is reported as restarted and added', () => {
			const registry = registryOf(first)
			const changes = registry.replace([second], 10)
			expect(changes.restarted).toEqual([first])
			expect(changes.added).toEqual([second])
			expect(changes.removed).toEqual([])
			expect(registry.choose(query(), 10)?.target.address).toBe('10.0.0.9:9')
		})

		it('starts with no prefix cache, work, load, failures, peer work or leaving notice', () => {
			const work = prompt('session', 'own')
			const registry = registryOf(first)
			const before = registry.choose(query({ work }), 0)!
			registry.beginAttempt(before, work, 0)
			registry.beginAttempt(before, undefined, 0).end('unreachable', 0)
			registry.beginAttempt(before, undefined, 0).noteLoad({ running: 8, waiting: 90, slots: 8 }, 0)
			const rows = [{ incarnation: incarnationOf(first), prefillTokens: 90_000, openRequests: 30 }]
			registry.notePeerWork(BOX, rows, 0)
			registry.replace([{ ...first, leaving: true, revision: { era: 1, number: 6 } }], 1)
			registry.replace([second], 2)
			// A late work report of another box for the previous incarnation.
			registry.notePeerWork(BOX, rows, 2)
			const fresh = registryOf(second).choose(query({ work }), 2)
			expect(registry.choose(query({ work }), 2)).toEqual(fresh)
			expect(registry.openWork(() => true, 2)).toEqual([])
		})

		it('can be chosen for a request that its previous incarnation failed', () => {
			const registry = registryOf(first)
			const tried = new Set([incarnationOf(first)])
			expect(registry.choose(query({ tried }), 0)).toBeUndefined()
			registry.replace([second], 1)
			expect(registry.choose(query({ tried }), 1)?.target.bornAt).toBe(9_000)
		})

		it('receives no request that was chosen for its previous incarnation', () => {
			const registry = registryOf(first)
			const handle = registry.beginAttempt(registry.choose(query(), 0)!, undefined, 0)
			expect(handle.maySend(1)).toBe(true)
			registry.replace([second], 2)
			expect(handle.maySend(3)).toBe(false)
			handle.end('failed', 4)
			expect(registry.choose(query(), 5)?.cost).toEqual(registryOf(second).choose(query(), 5)?.cost)
		})

		it('is not replaced by an entry of its previous incarnation, even with a newer revision', () => {
			const registry = registryOf(second)
			const late = { ...first, leaving: true, revision: { era: 1, number: 99 } }
			expect(registry.replace([late], 1)).toEqual({
				added: [],
				leaving: [],
				removed: [],
				restarted: [],
			})
			expect(registry.choose(query(), 1)?.target).toEqual(second)
		})

		it('is not treated as restarted if its entries have no start time', () => {
			const registry = registryOf(entry('a'))
			const changes = registry.replace(
				[entry('a', { revision: { era: 1, number: 2 }, leaving: true })],
				1,
			)
			expect(changes.restarted).toEqual([])
			expect(changes.leaving).toHaveLength(1)
		})
	})
})

/** Number of requests, up to 50, that the registry allows at the same time. */
function sentAtOnce(registry: TargetRegistry, now: number): number {
	for (let sent = 0; sent < 50; sent++) {
		const placement = registry.choose(query(), now)
		if (!placement) return sent
		registry.beginAttempt(placement, undefined, now)
	}
	return 50
}
