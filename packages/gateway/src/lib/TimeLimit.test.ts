import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { CallerRequest } from './CallerRequest.js'
import { TimeLimit } from './TimeLimit.js'

function requestOf(timeoutMs: number, deadlineMs?: number): CallerRequest {
	return { route: { timeoutMs }, deadlineMs } as CallerRequest
}

describe('TimeLimit', () => {
	beforeEach(() => vi.useFakeTimers({ now: 1_000 }))
	afterEach(() => vi.useRealTimers())

	it('uses the earlier limit of route and caller, counted from the arrival', () => {
		const limit = new TimeLimit(() => Date.now(), 900)
		expect(limit.elapsedMs).toBe(100)
		expect(limit.remainingMs(requestOf(500))).toBe(400)
		expect(limit.remainingMs(requestOf(500, 300))).toBe(200)
	})

	it('calls back shortly before the limit, immediately if it has passed, and never once stopped', () => {
		const calls: string[] = []
		const limit = new TimeLimit(() => Date.now(), 900)
		limit.start(requestOf(500), () => calls.push('limit'))
		new TimeLimit(() => Date.now(), 0).start(requestOf(500), () => calls.push('over'))
		const stopped = new TimeLimit(() => Date.now(), 900)
		stopped.start(requestOf(500), () => calls.push('stopped'))
		stopped.stop()
		vi.advanceTimersByTime(394)
		expect(calls).toEqual(['over'])
		vi.advanceTimersByTime(1_000)
		expect(calls).toEqual(['over', 'limit'])
	})
})
