import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { TEST_DIALECT } from './testBox.js'
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
	it('takes the word that a target leaves from answers of all kinds, also where it stands twice', () => {
		for (const status of [200, 400, 429, 500, 503])
			expect(read(status, { leaving: 'yes' }).leaving).toBe(true)
		expect(read(200, { leaving: 'yes, yes' }).leaving).toBe(true)
		expect(read(200, { leaving: ['no', 'yes'] }).leaving).toBe(true)
	})

	it('takes no other value for it', () => {
		for (const value of ['', 'no', 'yess', '0', 'YES'])
			expect(read(200, { leaving: value }).leaving).toBe(false)
		expect(read(200, {}).leaving).toBe(false)
	})

	it('takes nothing from an answer of another target', () => {
		const all = {
			leaving: 'yes',
			'retry-after': '3',
			load: '3,0,8',
			'cold-ms': '500',
			'request-rate': '2',
		}
		expect(read(WRONG_TARGET, all)).toEqual({
			leaving: false,
			backoff: { kind: 'none' },
			rate: { kind: 'silent' },
			load: undefined,
			coldMs: undefined,
		})
		expect(read(503, all)).toEqual({
			leaving: true,
			backoff: { kind: 'asked', ms: 3_000 },
			rate: { kind: 'named', perSecond: 2 },
			load: LOAD,
			coldMs: 500,
		})
	})

	it('reads no cold time that is none', () => {
		for (const text of ['', '-1', 'soon', 'NaN'])
			expect(read(200, { 'cold-ms': text }).coldMs).toBeUndefined()
	})

	it('reads whole seconds and parts of them from answers that turn a request away', () => {
		expect(backoff(503, '3')).toEqual({ kind: 'asked', ms: 3_000 })
		expect(backoff(429, '1.5')).toEqual({ kind: 'asked', ms: 1_500 })
		expect(backoff(503, '0')).toEqual({ kind: 'asked', ms: 0 })
		expect(backoff(503, '2, 7')).toEqual({ kind: 'asked', ms: 2_000 })
		for (const status of [200, 202, 301, 500, 502]) expect(backoff(status, '3').kind).toBe('none')
	})

	it('tells what it does not understand', () => {
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

	it('reads the requests a second that a target takes, from answers of all kinds', () => {
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

	it('tells which rate it does not understand', () => {
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

	it('takes the end of a rate only from an answer of the target that succeeded', () => {
		expect(read(200, { 'target-mark': 't' }).rate).toEqual({ kind: 'none' })
		expect(read(200, {}).rate).toEqual({ kind: 'silent' })
		for (const status of [400, 429, 500, 503])
			expect(read(status, { 'target-mark': 't' }).rate).toEqual({ kind: 'silent' })
	})

	it('never yields a time that is not a finite number of ms, whatever the header holds', () => {
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
