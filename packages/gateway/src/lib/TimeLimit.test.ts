import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { CallerRequest } from './CallerRequest.js'
import { TimeLimit } from './TimeLimit.js'

function requestOf(timeoutMs: number, deadlineMs?: number): CallerRequest {
	return { route: { timeoutMs }, deadlineMs } as CallerRequest
}

describe('TimeLimit', () => {
	beforeEach(() => vi.useFakeTimers({ now: 1_000 }))
	afterEach(() => vi.useRealTimers())

	it('goes by the earlier of the limits of the route and the caller, from the arrival on', () => {
		const limit = new TimeLimit(() => Date.now(), 900)
		expect(limit.elapsedMs).toBe(100)
		expect(limit.remainingMs(requestOf(500))).toBe(400)
		expect(limit.remainingMs(requestOf(500, 300))).toBe(200)
	})

	it('calls back just before the limit, at once where it is over, and not once stopped', () => {
		const called: string[] = []
		const limit = new TimeLimit(() => Date.now(), 900)
		limit.start(requestOf(500), () => called.push('limit'))
		new TimeLimit(() => Date.now(), 0).start(requestOf(500), () => called.push('over'))
		const stopped = new TimeLimit(() => Date.now(), 900)
		stopped.start(requestOf(500), () => called.push('stopped'))
		stopped.stop()
		vi.advanceTimersByTime(394)
		expect(called).toEqual(['over'])
		vi.advanceTimersByTime(1_000)
		expect(called).toEqual(['over', 'limit'])
	})
})
