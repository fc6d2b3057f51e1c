import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { brandId, type ZoneName } from '../ids.js'
import type { DeclaredWork } from '../traffic/DeclaredWork.js'
import type { AttemptHandle } from './AttemptHandle.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetEntry } from './TargetEntry.js'
import { incarnationOf } from './TargetIncarnation.js'
import { SERVICE, ZONE, entry, query } from './testEntries.js'

const START_TIME = 1_800_000_000_000
const MINUTE_MS = 60_000

function registryOf(...entries: TargetEntry[]): TargetRegistry {
	const registry = new TargetRegistry()
	registry.replace(entries, 0, START_TIME)
	return registry
}

/** Sends a request and expects that the registry chooses the target `name`. */
function startAttempt(registry: TargetRegistry, name: string, now: number): AttemptHandle {
	const placement = registry.choose(query(), now)
	expect(placement?.target.name).toBe(name)
	return registry.beginAttempt(placement!, undefined, now)
}

/** Like `startAttempt`, with the first byte of the response received, as it is when a notice arrives. */
function respondingAttempt(registry: TargetRegistry, name: string, now: number): AttemptHandle {
	const handle = startAttempt(registry, name, now)
	handle.noteByte(now)
	return handle
}

function chosen(registry: TargetRegistry, now: number): string | undefined {
	return registry.choose(query(), now)?.target.name
}

describe('a target that announces that it is leaving', () => {
	it('receives no new requests, even while the list shows it as ready', () => {
		const registry = registryOf(entry('a'))
		expect(respondingAttempt(registry, 'a', 0).noteLeaving(10)).toBe(true)
		expect(chosen(registry, 10)).toBeUndefined()
		expect(registry.closedCause(SERVICE, 10)).toEqual({ cause: 'none', opensInMs: undefined })
		registry.replace([entry('a', { revision: { era: 1, number: 7 } })], 20)
		expect(chosen(registry, 20)).toBeUndefined()
	})

	it('is reported as leaving only once', () => {
		const registry = registryOf(entry('a'))
		const handle = startAttempt(registry, 'a', 0)
		expect([handle.noteLeaving(10), handle.noteLeaving(20)]).toEqual([true, false])
	})

	it('does not receive a request that was waiting for a connection', () => {
		const registry = registryOf(entry('a'))
		const first = startAttempt(registry, 'a', 0)
		const waiting = startAttempt(registry, 'a', 0)
		expect(waiting.maySend(9)).toBe(true)
		first.noteLeaving(10)
		expect(waiting.maySend(10)).toBe(false)
	})

	it('receives no requests after its entry expired and reappeared unchanged', () => {
		const registry = registryOf(entry('a'))
		respondingAttempt(registry, 'a', 0).noteLeaving(10)
		const { removed } = registry.replace([], 20)
		// The entry is marked as leaving, so that its planned end does not count as a crash.
		expect(removed.map(({ leaving }) => leaving)).toEqual([true])
		registry.replace([entry('a', { revision: { era: 1, number: 9 } })], 5 * MINUTE_MS)
		expect(chosen(registry, 5 * MINUTE_MS)).toBeUndefined()
	})

	it('receives no requests if its response arrives after its entry was removed', () => {
		const registry = registryOf(entry('a'))
		const handle = startAttempt(registry, 'a', 0)
		registry.replace([], 5)
		handle.noteLeaving(10)
		registry.replace([entry('a')], 20)
		expect(chosen(registry, 20)).toBeUndefined()
	})

	it('receives requests again after a restart', () => {
		const registry = registryOf(entry('a', { bornAt: START_TIME }))
		respondingAttempt(registry, 'a', 0).noteLeaving(10)
		registry.replace([entry('a', { bornAt: START_TIME + 20 })], 30, START_TIME + 30)
		expect(chosen(registry, 30)).toBe('a')
		expect(registry.isAvailable(incarnationNamed('a', START_TIME + 20), entry('a').name)).toBe(true)
	})

	it('receives no requests if the new incarnation announced it before its entry was read', () => {
		const registry = registryOf(entry('a', { bornAt: START_TIME }))
		// It restarted 10 s ago, while the store was unavailable, with the same address and name.
		respondingAttempt(registry, 'a', 20_000).noteLeaving(20_010)
		registry.replace([entry('a', { bornAt: START_TIME + 10_000 })], 21_000, START_TIME + 21_000)
		expect(chosen(registry, 21_000)).toBeUndefined()
	})

	it('receives requests after a restart and the backoff that the new incarnation requested', () => {
		const registry = registryOf(entry('a', { bornAt: START_TIME }))
		const handle = startAttempt(registry, 'a', 0)
		handle.noteLeaving(10)
		handle.noteBackoff(3_000, 20_000)
		registry.replace([entry('a', { bornAt: START_TIME + 10_000 })], 21_000, START_TIME + 21_000)
		expect(chosen(registry, 22_999)).toBeUndefined()
		expect(registry.closedCause(SERVICE, 22_999)?.cause).toBe('backoff')
		handle.noteByte(23_000)
		expect(chosen(registry, 23_000)).toBe('a')
	})

	it('is no longer the affinity target of a prompt', () => {
		const registry = registryOf(entry('a'), entry('bb'), entry('ccc'))
		const work = promptOf('session')
		const affinityTarget = registry.choose(query({ work }), 0)!
		registry.beginAttempt(affinityTarget, work, 0).noteLeaving(10)
		const other = registry.choose(query({ work }), 20)
		expect(other?.target.name).not.toBe(affinityTarget.target.name)
		// The new affinity target is assumed to have the shared prefix cached, as it is the same on all boxes.
		expect(other?.cost.prefillTokens).toBeLessThan(work.inputTokens)
	})
})

describe('a target that requests a backoff', () => {
	it('receives no requests until the backoff ends', () => {
		const registry = registryOf(entry('a'))
		expect(respondingAttempt(registry, 'a', 0).noteBackoff(1_500, 10)).toBe(1_510)
		expect(chosen(registry, 1_509)).toBeUndefined()
		expect(registry.closedCause(SERVICE, 1_000)).toEqual({ cause: 'backoff', opensInMs: 510 })
		expect(chosen(registry, 1_510)).toBe('a')
	})

	it('stays in backoff until the later end of two overlapping backoffs', () => {
		const registry = registryOf(entry('a'))
		const handle = respondingAttempt(registry, 'a', 0)
		handle.noteBackoff(3_000, 0)
		handle.noteBackoff(500, 100)
		expect(chosen(registry, 2_999)).toBeUndefined()
		handle.noteBackoff(3_000, 200)
		expect(chosen(registry, 3_199)).toBeUndefined()
		expect(chosen(registry, 3_200)).toBe('a')
	})

	it('stays in backoff for ten minutes at most, and not at all for a backoff of 0', () => {
		const registry = registryOf(entry('a'))
		const handle = respondingAttempt(registry, 'a', 0)
		handle.noteBackoff(0, 10)
		expect(chosen(registry, 10)).toBe('a')
		handle.noteBackoff(1e12, 10)
		expect(chosen(registry, 10 * MINUTE_MS)).toBeUndefined()
		expect(chosen(registry, 10 * MINUTE_MS + 10)).toBe('a')
	})

	it('does not receive a request that was chosen before the backoff', () => {
		const registry = registryOf(entry('a'))
		const first = startAttempt(registry, 'a', 0)
		const waiting = startAttempt(registry, 'a', 0)
		first.noteBackoff(1_000, 10)
		expect(waiting.maySend(20)).toBe(false)
	})

	it('stays in backoff when its entry expires and reappears, but not after a restart', () => {
		const registry = registryOf(entry('a', { bornAt: START_TIME }))
		respondingAttempt(registry, 'a', 0).noteBackoff(9_000, 10)
		registry.replace([], 100)
		registry.replace([entry('a', { bornAt: START_TIME, revision: { era: 1, number: 8 } })], 200)
		expect(chosen(registry, 200)).toBeUndefined()
		registry.replace([entry('a', { bornAt: START_TIME + 300 })], 400, START_TIME + 400)
		expect(chosen(registry, 400)).toBe('a')
	})

	it('stays the affinity target of its prompts, which go to other targets during the backoff', () => {
		const registry = registryOf(entry('a'), entry('bb'), entry('ccc'))
		const work = promptOf('session')
		const affinityTarget = registry.choose(query({ work }), 0)!
		const handle = registry.beginAttempt(affinityTarget, undefined, 0)
		handle.noteByte(0)
		handle.noteBackoff(1_000, 0)
		expect(registry.choose(query({ work }), 10)?.target.name).not.toBe(affinityTarget.target.name)
		expect(registry.choose(query({ work }), 1_000)?.target.name).toBe(affinityTarget.target.name)
	})

	it('receives one request at a time for a second after the backoff', () => {
		const registry = registryOf(entry('a'))
		respondingAttempt(registry, 'a', 0).noteBackoff(1_500, 0)
		const first = startAttempt(registry, 'a', 1_500)
		expect(chosen(registry, 1_510)).toBeUndefined()
		expect(registry.closedCause(SERVICE, 1_510)).toEqual({ cause: 'backoff', opensInMs: 0 })
		// The attempt is in flight itself, but must not prevent its own request from being sent.
		expect(first.maySend(1_510)).toBe(true)
		first.noteByte(1_520)
		startAttempt(registry, 'a', 1_520)
		expect(chosen(registry, 2_499)).toBeUndefined()
		expect(chosen(registry, 2_500)).toBe('a')
	})

	it('receives no second request if it rejects the first one after the backoff', () => {
		const registry = registryOf(entry('a'))
		respondingAttempt(registry, 'a', 0).noteBackoff(1_500, 0)
		respondingAttempt(registry, 'a', 1_500).noteBackoff(1_500, 1_510)
		expect(chosen(registry, 3_009)).toBeUndefined()
	})

	it('keeps the service closed until the first target leaves its backoff', () => {
		const registry = registryOf(entry('a'), entry('bb'), entry('ccc', { leaving: true }))
		respondingAttempt(registry, 'a', 0).noteBackoff(3_000, 0)
		expect(registry.closedCause(SERVICE, 0)).toBeUndefined()
		respondingAttempt(registry, 'bb', 0).noteBackoff(1_000, 500)
		expect(registry.closedCause(SERVICE, 600)).toEqual({ cause: 'backoff', opensInMs: 900 })
		expect(registry.closedCause(SERVICE, 1_500)).toBeUndefined()
	})

	it('closes the service for requests that are not allowed in the zones of other targets', () => {
		const registry = registryOf(entry('a'), entry('bb', { zone: brandId<ZoneName>('z2') }))
		respondingAttempt(registry, 'a', 0).noteBackoff(3_000, 0)
		expect(registry.closedCause(SERVICE, 0)).toBeUndefined()
		const closed = registry.closedCause(SERVICE, 0, (zone) => zone === ZONE)
		expect(closed).toEqual({ cause: 'backoff', opensInMs: 3_000 })
	})
})

describe('target notices in any order of notices, lists, restarts and waits', () => {
	const step = fc.oneof(
		fc.record({ kind: fc.constant('leaving' as const), target: fc.nat(2) }),
		fc.record({ kind: fc.constant('backoff' as const), target: fc.nat(2), ms: fc.nat(5_000) }),
		fc.record({ kind: fc.constant('list' as const), listed: fc.subarray([0, 1, 2]) }),
		fc.record({ kind: fc.constant('restart' as const), target: fc.nat(2) }),
		fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(4_000) }),
	)

	it('prevent requests to incarnations that are leaving or in backoff', () => {
		fc.assert(
			fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), (steps) => {
				let now = 0
				const startOffsets = [0, 0, 0]
				const leaving = [false, false, false]
				const backoffUntil = [0, 0, 0]
				const entryOf = (i: number): TargetEntry =>
					entry(`t${i}`, { bornAt: START_TIME + startOffsets[i]! })
				const registry = registryOf(entryOf(0), entryOf(1), entryOf(2))
				let listed = [0, 1, 2]
				const handleOf = (i: number): AttemptHandle => {
					const handle = registry.beginAttempt(
						{
							target: entryOf(i),
							cost: { ms: 0, expectedMs: 1, prefillTokens: 0 },
							candidates: 1,
							loadAgeMs: -1,
						},
						undefined,
						now,
					)
					handle.noteByte(now)
					return handle
				}
				for (const one of steps) {
					switch (one.kind) {
						case 'leaving':
							handleOf(one.target).noteLeaving(now)
							leaving[one.target] = true
							break
						case 'backoff':
							handleOf(one.target).noteBackoff(one.ms, now)
							backoffUntil[one.target] = Math.max(backoffUntil[one.target]!, now + one.ms)
							break
						case 'list':
							listed = one.listed
							registry.replace(listed.map(entryOf), now, START_TIME + now)
							break
						case 'restart':
							now++
							startOffsets[one.target] = now
							leaving[one.target] = false
							backoffUntil[one.target] = 0
							registry.replace(listed.map(entryOf), now, START_TIME + now)
							break
						case 'wait':
							now += one.ms
							break
					}
					const placement = registry.choose(query(), now)
					const open = listed.filter((i) => !leaving[i] && backoffUntil[i]! <= now)
					expect(placement !== undefined).toBe(open.length > 0)
					if (placement) expect(open.map((i) => `t${i}`)).toContain(placement.target.name)
					expect(registry.closedCause(SERVICE, now) === undefined).toBe(open.length > 0)
				}
			}),
			{ seed: 46, numRuns: 1_000 },
		)
	})
})

function promptOf(session: string): DeclaredWork {
	const parts = [
		{ id: session, tokens: 8_000 },
		{ id: `${session}-own`, tokens: 1_000 },
	]
	return { inputTokens: 9_000, maxOutputTokens: 50, parts }
}

function incarnationNamed(name: string, bornAt: number) {
	return incarnationOf({ name: entry(name).name, bornAt })
}
