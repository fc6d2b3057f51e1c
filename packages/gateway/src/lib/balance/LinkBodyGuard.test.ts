import type { LinkState } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import type { CallerRequest } from '../CallerRequest.js'
import { LinkBodyGuard } from './LinkBodyGuard.js'

const REQUEST = { route: { latencyGoalMs: 150 } } as CallerRequest
const FULL: LinkState = { bytesPerSecond: 100_000, use: 1, pendingBytes: 100_000, ageMs: 100 }

function createGuard(link: LinkState, linkBytesPerSecond = 100_000_000): LinkBodyGuard {
	const clock = { now: () => 0, link: () => link, sentToCallers: () => 0 }
	return new LinkBodyGuard({ ...clock, linkBytesPerSecond })
}

describe('LinkBodyGuard', () => {
	it('refuses a body that a full link cannot carry, as overloaded and with a short delay', () => {
		const guard = createGuard(FULL)
		expect(guard.check(REQUEST, 50_000)).toMatchObject({ kind: 'overloaded', availableInMs: 0 })
		expect(guard.refusedCount).toBe(1)
	})

	it.each([
		['the link is not full', { use: 0.2, pendingBytes: 0 }, 5_000],
		['the measurement is old', { ageMs: 1_001 }, 50_000],
		['there is no body', {}, 0],
		['the length is not stated', {}, undefined],
	])('lets a request through if %s', (_case, state, bytes) => {
		const guard = createGuard({ ...FULL, ...state })
		expect(guard.check(REQUEST, bytes)).toBeUndefined()
		expect(guard.refusedCount).toBe(0)
	})

	it('refuses requests beyond what the link carries, although its use is not measured yet', () => {
		const guard = createGuard({ ...FULL, use: 0, pendingBytes: 0 }, 100_000)
		const refusals = Array.from({ length: 20 }, () => guard.check(REQUEST, 2_000)?.kind)
		expect(refusals[0]).toBeUndefined()
		expect(refusals.at(-1)).toBe('overloaded')
	})
})
