import type { LinkState } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import type { CallerRequest } from '../CallerRequest.js'
import { LinkBodyGuard } from './LinkBodyGuard.js'

const REQUEST = { route: { latencyGoalMs: 150 } } as CallerRequest
const FULL: LinkState = { bytesPerSecond: 100_000, use: 1, pendingBytes: 100_000, ageMs: 100 }

describe('LinkBodyGuard', () => {
	it('refuses a body that a full link cannot carry, as overloaded and with a short delay', () => {
		const guard = new LinkBodyGuard(() => FULL)
		expect(guard.check(REQUEST, 50_000)).toMatchObject({ kind: 'overloaded', availableInMs: 0 })
		expect(guard.refusedCount).toBe(1)
	})

	it.each([
		['the link is not full', { use: 0.2, pendingBytes: 0 }, 5_000],
		['the measurement is old', { ageMs: 1_001 }, 50_000],
		['there is no body', {}, 0],
		['the length is not stated', {}, undefined],
	])('lets a request through if %s', (_case, state, bytes) => {
		const guard = new LinkBodyGuard(() => ({ ...FULL, ...state }))
		expect(guard.check(REQUEST, bytes)).toBeUndefined()
		expect(guard.refusedCount).toBe(0)
	})
})
