import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { brandId, type BoxName, type TargetName, type ZoneName } from '../ids.js'
import { seededRandom } from '../testRandom.js'
import type { AttemptHandle } from './AttemptHandle.js'
import type { TargetIncarnation } from './TargetIncarnation.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetLoad } from './TargetEntry.js'
import { SERVICE, entry, query } from './testEntries.js'

const IDLE: TargetLoad = { running: 0, waiting: 0, slots: 8 }
const WORK = { inputTokens: 3_500, maxOutputTokens: 10, parts: [] }
/** Expected time of `WORK` at an idle target of normal speed. */
const EXPECTED_MS = 108

function registryOf(...names: string[]): TargetRegistry {
	const registry = new TargetRegistry()
	registry.replace(
		names.map((name) => entry(name)),
		0,
	)
	return registry
}

function begin(registry: TargetRegistry, name: string, now: number): AttemptHandle {
	const isOther = (target: TargetName): boolean => target !== name
	const placement = registry.choose(query({ work: WORK, isFull: isOther }), now)
	return registry.beginAttempt(placement!, WORK, now)
}

/** Runs a request at a target that takes `tookMs` until the first byte and reports a current slowdown. */
function run(
	registry: TargetRegistry,
	name: string,
	now: number,
	tookMs: number,
	currentSlowdown: number | undefined,
): void {
	const handle = begin(registry, name, now)
	handle.noteByte(now + tookMs)
	handle.noteLoad(currentSlowdown === undefined ? IDLE : { ...IDLE, currentSlowdown }, now + tookMs)
	handle.end('good', now + tookMs)
}

/** Another box has a little work at each target. */
function noteOtherBox(registry: TargetRegistry, names: readonly string[]): void {
	const rows = names.map((name) => ({
		incarnation: brandId<TargetIncarnation>(name),
		prefillTokens: 0,
		openRequests: 1,
	}))
	registry.notePeerWork(brandId<BoxName>('other'), rows, 0)
}

function lastingOf(registry: TargetRegistry, name: string, now: number): number | undefined {
	return registry.speeds.slowest(20, now).find(({ target }) => target === name)?.lasting
}

describe('the speeds of targets', () => {
	it('do not change any choice while no target reports its current slowdown', () => {
		const anyRun = fc.record({
			name: fc.constantFrom('a', 'bb', 'ccc'),
			tookMs: fc.integer({ min: 1, max: 900 }),
		})
		fc.assert(
			fc.property(fc.array(anyRun, { maxLength: 20 }), (runs) => {
				const registry = registryOf('a', 'bb', 'ccc')
				runs.forEach(({ name, tookMs }, i) => run(registry, name, i * 1_000, tookMs, undefined))
				const random = (): number => {
					throw new Error('no random number is needed')
				}
				const now = 30_000
				const withoutRandom = registry.choose(query({ work: WORK }), now)
				expect(registry.choose(query({ work: WORK, random }), now)).toEqual(withoutRandom)
				expect(withoutRandom?.cost.speed).toBeUndefined()
				expect(registry.speeds.reports(() => true, now)).toEqual([])
			}),
		)
	})

	it('do not learn a momentary slowdown as a lasting one', () => {
		const registry = registryOf('a')
		for (let i = 0; i < 30; i++) run(registry, 'a', i * 1_000, 2.5 * EXPECTED_MS, 2.5)
		expect(lastingOf(registry, 'a', 30_000)).toBeLessThan(2)
		const steady = registryOf('a')
		for (let i = 0; i < 30; i++) run(steady, 'a', i * 100, 2.5 * EXPECTED_MS, 2.5)
		expect(lastingOf(steady, 'a', 3_000)).toBeLessThan(1.3)
	})

	it('detect a target that reports to be fast but is slow, by its measured times', () => {
		const registry = registryOf('a', 'bb')
		for (let i = 0; i < 30; i++) {
			run(registry, 'a', i * 1_000, 3 * EXPECTED_MS, 0.5)
			run(registry, 'bb', i * 1_000, EXPECTED_MS, 1)
		}
		expect(registry.choose(query({ work: WORK }), 40_000)?.target.name).toBe('bb')
	})

	it('learn nothing from rejections, which are fast at any target', () => {
		const registry = registryOf('a')
		run(registry, 'a', 0, 1.8 * EXPECTED_MS, 1)
		const before = registry.speeds.reports(() => true, 1_000)[0]
		const handle = begin(registry, 'a', 1_000)
		handle.noteByte(1_002)
		handle.end('full', 1_002)
		const after = registry.speeds.reports(() => true, 1_000)[0]
		expect(after?.lasting).toBe(before?.lasting)
	})

	it('learn from requests that callers cancel before the first byte', () => {
		const registry = registryOf('a')
		run(registry, 'a', 0, EXPECTED_MS, 1)
		for (let i = 1; i < 20; i++)
			begin(registry, 'a', i * 1_000).end('cancelled', i * 1_000 + 4 * EXPECTED_MS)
		expect(lastingOf(registry, 'a', 20_000)).toBeGreaterThan(2)
	})

	it('start at the median of the service for a new or restarted target', () => {
		const registry = registryOf('a', 'bb', 'ccc')
		for (let i = 0; i < 30; i++) {
			run(registry, 'a', i * 1_000, 2 * EXPECTED_MS, 1)
			run(registry, 'bb', i * 1_000, 2 * EXPECTED_MS, 1)
			run(registry, 'ccc', i * 1_000, 4 * EXPECTED_MS, 1)
		}
		const entries = ['a', 'bb', 'dddd'].map((name) => entry(name))
		registry.replace([...entries, entry('ccc', { bornAt: 5 })], 30_000)
		for (const name of ['ccc', 'dddd']) {
			expect(lastingOf(registry, name, 30_000)).toBeGreaterThan(1.8)
			expect(lastingOf(registry, name, 30_000)).toBeLessThan(2.2)
		}
		// A new version of the target may not report any more.
		run(registry, 'dddd', 30_000, EXPECTED_MS, undefined)
		expect(lastingOf(registry, 'dddd', 31_000)).toBeUndefined()
	})

	it('are reported once if unreadable, and the other load figures are used', () => {
		const registry = registryOf('a')
		const load = { ...IDLE, running: 3, unreadableSlowdown: '-1' }
		const handle = begin(registry, 'a', 0)
		expect(handle.noteLoad(load, 0)).toBe(true)
		expect(handle.noteLoad(load, 1)).toBe(false)
		expect(begin(registry, 'a', 2).noteLoad(load, 2)).toBe(false)
		expect(registry.speeds.reports(() => true, 2)).toEqual([])
		expect(registry.choose(query(), 3)?.loadAgeMs).toBe(1)
	})

	it('spread requests over targets of the same cost, and few over a slow one', () => {
		const registry = registryOf('a', 'bb', 'ccc')
		run(registry, 'a', 0, EXPECTED_MS, 1)
		run(registry, 'bb', 0, EXPECTED_MS, 1)
		run(registry, 'ccc', 0, 4 * EXPECTED_MS, 4)
		noteOtherBox(registry, ['a', 'bb', 'ccc'])
		const random = seededRandom(3)
		const counts: Record<string, number> = {}
		for (let i = 0; i < 1_000; i++) {
			const name = registry.choose(query({ work: WORK, random }), 500)?.target.name ?? ''
			counts[name] = (counts[name] ?? 0) + 1
		}
		expect(counts['a']).toBeGreaterThan(400)
		expect(counts['bb']).toBeGreaterThan(400)
		expect(counts['ccc'] ?? 0).toBeLessThan(50)
	})

	it('let a box without others use the cheapest target, because it knows all work', () => {
		const registry = registryOf('a', 'bb', 'ccc')
		for (const name of ['a', 'bb', 'ccc']) run(registry, name, 0, EXPECTED_MS, 1)
		const random = seededRandom(3)
		const opened = new Set<string>()
		for (let i = 0; i < 3; i++) {
			const placement = registry.choose(query({ work: WORK, random }), 500)
			opened.add(placement!.target.name)
			registry.beginAttempt(placement!, WORK, 500)
		}
		expect(opened.size).toBe(3)
	})

	it('are measured again at a target that no box has measured recently, by few requests', () => {
		const registry = registryOf('a', 'bb')
		run(registry, 'bb', 0, 2 * EXPECTED_MS, 1)
		for (let i = 0; i < 40; i++) run(registry, 'a', i * 1_000, EXPECTED_MS, 1)
		noteOtherBox(registry, ['a', 'bb'])
		const random = seededRandom(5)
		let measuring = 0
		for (let i = 0; i < 10_000; i++)
			if (registry.choose(query({ work: WORK, random }), 41_000)?.target.name === 'bb') measuring++
		expect(measuring).toBeGreaterThan(50)
		expect(measuring).toBeLessThan(200)
	})

	it('do not make a choice leave the zone for a small gain', () => {
		const zone = brandId<ZoneName>('z2')
		const random = (): number => 0.5
		const registry = new TargetRegistry()
		registry.replace([entry('a'), entry('bb', { zone })], 0)
		run(registry, 'a', 0, 1.1 * EXPECTED_MS, 1)
		run(registry, 'bb', 0, EXPECTED_MS, 1)
		expect(registry.choose(query({ work: WORK, random }), 1_000)?.target.name).toBe('a')
		run(registry, 'a', 2_000, 2.5 * EXPECTED_MS, 2.5)
		expect(registry.choose(query({ work: WORK, random }), 2_300)?.target.name).toBe('bb')
	})

	it('list the slowest targets first', () => {
		const registry = registryOf('a', 'bb', 'ccc')
		run(registry, 'a', 0, EXPECTED_MS, 1)
		run(registry, 'bb', 0, 3 * EXPECTED_MS, 3)
		run(registry, 'ccc', 0, 2 * EXPECTED_MS, 2)
		expect(registry.speeds.slowest(2, 330).map(({ target }) => target)).toEqual(['bb', 'ccc'])
		expect(registry.serviceOf(brandId<TargetName>('a'))).toBe(SERVICE)
	})
})
