import { describe, expect, it } from 'vitest'
import { canCarryBody, type LinkState } from './canCarryBody.js'
import { workReportIntervalMs } from './workReportIntervalMs.js'

/** A small box (7 Mbit/s) whose link is full. */
const FULL: LinkState = { bytesPerSecond: 875_000, use: 1, pendingBytes: 0, ageMs: 200 }
const LONG_PROMPT = { bytes: 9_200, latencyGoalMs: 1_200 }
const LARGEST = { bytes: 55_000, latencyGoalMs: 150 }

describe('canCarryBody', () => {
	it('refuses nothing while the link has room, whatever waits', () => {
		expect(canCarryBody(LARGEST, { ...FULL, use: 0.85, pendingBytes: 10_000_000 })).toBe(true)
	})

	it('refuses nothing on a measurement older than a second', () => {
		expect(canCarryBody(LARGEST, { ...FULL, ageMs: 1_001 })).toBe(true)
		expect(canCarryBody(LARGEST, { ...FULL, ageMs: 1_000 })).toBe(false)
	})

	it('counts the way in, the way out and the bytes that wait', () => {
		// 18,400 B take 21 ms; 505,000 B more fill the 600 ms.
		expect(canCarryBody(LONG_PROMPT, FULL)).toBe(true)
		expect(canCarryBody(LONG_PROMPT, { ...FULL, pendingBytes: 505_000 })).toBe(true)
		expect(canCarryBody(LONG_PROMPT, { ...FULL, pendingBytes: 508_000 })).toBe(false)
	})

	it('carries a small body where a large one does not fit', () => {
		const link = { ...FULL, pendingBytes: 20_000 }
		expect(canCarryBody({ bytes: 600, latencyGoalMs: 150 }, link)).toBe(true)
		expect(canCarryBody(LARGEST, link)).toBe(false)
	})

	it('refuses nothing without a link, a goal or a usable measurement', () => {
		expect(canCarryBody(LARGEST, { ...FULL, bytesPerSecond: 0 })).toBe(true)
		expect(canCarryBody({ ...LARGEST, latencyGoalMs: 0 }, FULL)).toBe(true)
		expect(canCarryBody({ ...LARGEST, latencyGoalMs: Number.POSITIVE_INFINITY }, FULL)).toBe(true)
		for (const key of ['bytesPerSecond', 'use', 'pendingBytes', 'ageMs'] as const)
			expect(canCarryBody(LARGEST, { ...FULL, [key]: Number.NaN })).toBe(true)
	})
})

describe('workReportIntervalMs', () => {
	it('gets longer above 60% and 80% of the link, and stays short at an unknown use', () => {
		expect([0, 0.6, 0.61, 0.8, 0.81, 1.2].map(workReportIntervalMs)).toEqual([
			25, 25, 100, 100, 200, 200,
		])
		expect(workReportIntervalMs(Number.NaN)).toBe(25)
	})
})
