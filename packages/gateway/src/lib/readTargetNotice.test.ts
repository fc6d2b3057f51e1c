import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { TEST_DIALECT } from './testDialect.js'
import { readTargetNotice, type BackoffNotice, type RateNotice } from './readTargetNotice.js'

const WRONG_TARGET = TEST_DIALECT.wrongTargetStatus
const LOAD = { running: 3, waiting: 0, slots: 8 }

function read(status: number, headers: Record<string, string | string[]>) {
	const dialect = { ...TEST_DIALECT, readLoad: () => LOAD }
	return readTargetNotice({ status, headers, rawHeaders: [] }, dialect)
}

function backoff(status: number, text: string): BackoffNotice {
	return read(status, { 'retry-after': text }).backoff
}

function rate(text: string | string[], status = 200): RateNotice {
	return read(status, { 'request-rate': text }).rate
}

describe('readTargetNotice', () => {
	it('reads the leaving header from responses of all statuses, also if repeated', () => {
		for (const status of [200, 400, 429, 500, 503])
			expect(read(status, { leaving: 'yes' }).leaving).toBe(true)
		expect(read(200, { leaving: 'yes, yes' }).leaving).toBe(true)
		expect(read(200, { leaving: ['no', 'yes'] }).leaving).toBe(true)
	})

	it('ignores other values of the leaving header', () => {
		for (const value of ['', 'no', 'yess', '0', 'YES'])
			expect(read(200, { leaving: value }).leaving).toBe(false)
		expect(read(200, {}).leaving).toBe(false)
	})

	it('reads nothing from a response of another target', () => {
		const all = {
			leaving: 'yes',
			'retry-after': '3',
			load: '3,0,8',
			'cold-ms': '500',
			'request-rate': '2',
			'rejection-limit': '4',
		}
		expect(read(WRONG_TARGET, all)).toEqual({
			leaving: false,
			backoff: { kind: 'none' },
			rate: { kind: 'silent' },
			rejections: { kind: 'silent' },
			load: undefined,
			coldMs: undefined,
		})
		expect(read(503, all)).toEqual({
			leaving: true,
			backoff: { kind: 'asked', ms: 3_000 },
			rate: { kind: 'named', perSecond: 2 },
			rejections: { kind: 'named', perSecond: 4 },
			load: LOAD,
			coldMs: 500,
		})
	})

	it('ignores an invalid cold time', () => {
		for (const text of ['', '-1', 'soon', 'NaN'])
			expect(read(200, { 'cold-ms': text }).coldMs).toBeUndefined()
	})

	it('reads whole and fractional seconds from Retry-After of 429 and 503 responses', () => {
		expect(backoff(503, '3')).toEqual({ kind: 'asked', ms: 3_000 })
		expect(backoff(429, '1.5')).toEqual({ kind: 'asked', ms: 1_500 })
		expect(backoff(503, '0')).toEqual({ kind: 'asked', ms: 0 })
		expect(backoff(503, '2, 7')).toEqual({ kind: 'asked', ms: 2_000 })
		for (const status of [200, 202, 301, 500, 502]) expect(backoff(status, '3').kind).toBe('none')
	})

	it('returns a backoff that it cannot parse as unreadable', () => {
		for (const text of [
			'',
			'soon',
			'-1',
			'1e3',
			'0x10',
			'Infinity',
			'Thu, 03 Dec 2026 08:00:00 GMT',
		])
			expect(backoff(503, text)).toEqual({ kind: 'unreadable', text })
	})

	it('reads the rate limit of a target from responses of all statuses', () => {
		for (const status of [200, 400, 429, 500, 503])
			expect(rate('1.3', status)).toEqual({ kind: 'named', perSecond: 1.3 })
		for (const [text, perSecond] of [
			['0', 0],
			['0.25', 0.25],
			[' 7 ', 7],
			['999999999', 999_999_999],
			['4, 3', 3],
		] as const)
			expect(rate(text)).toEqual({ kind: 'named', perSecond })
		expect(rate(['5', '2'])).toEqual({ kind: 'named', perSecond: 2 })
	})

	it('returns a rate that it cannot parse as unreadable', () => {
		for (const text of [
			'',
			'-1',
			'few',
			'1e3',
			'.5',
			'1.',
			'NaN',
			'Infinity',
			'2, few',
			'9'.repeat(10),
		])
			expect(rate(text)).toEqual({ kind: 'unreadable', text })
	})

	it('ends a rate limit only on a success of the target', () => {
		expect(read(200, { 'target-mark': 't' }).rate).toEqual({ kind: 'none' })
		expect(read(200, {}).rate).toEqual({ kind: 'silent' })
		for (const status of [400, 429, 500, 503])
			expect(read(status, { 'target-mark': 't' }).rate).toEqual({ kind: 'silent' })
	})

	it('returns only finite, non-negative backoffs for any header value', () => {
		fc.assert(
			fc.property(fc.string(), (text) => {
				const read = backoff(503, text)
				if (read.kind === 'asked') expect(read.ms >= 0 && Number.isFinite(read.ms)).toBe(true)
				if (read.kind === 'unreadable') expect(read.text.length).toBeLessThanOrEqual(40)
			}),
			{ seed: 46, numRuns: 2_000 },
		)
	})
})
