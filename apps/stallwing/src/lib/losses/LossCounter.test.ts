import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { LossCounter, countLost } from './LossCounter.js'
import { renderLossChart } from './renderLossChart.js'

const START = Date.parse('2026-01-01T00:00:00.000Z')

function logLine(name: string, fields: Record<string, unknown>, second = 0): string {
	const time = new Date(START + second * 1_000).toISOString()
	return JSON.stringify({ time, name, box: 'b-1', zone: 'north', ...fields })
}

function answered(fields: Record<string, unknown>): string {
	const defaults = {
		status: 200,
		sentMs: 5,
		firstMs: 80,
		aimMs: 100,
		longestPauseMs: 0,
		pauseAimMs: 50,
	}
	return logLine('request-answered', {
		request: 'r',
		route: 'a',
		account: 'acme',
		...defaults,
		...fields,
	})
}

function countCauses(...lines: string[]): Record<string, number> {
	const counter = new LossCounter()
	for (const line of lines) counter.add(line)
	return Object.fromEntries(counter.report().causes)
}

describe('LossCounter', () => {
	it('attributes a late response to its cause', () => {
		expect(
			countCauses(
				answered({}),
				answered({ firstMs: 150 }),
				answered({ firstMs: 150, sentMs: 90 }),
				answered({ longestPauseMs: 60 }),
				answered({ status: 500 }),
			),
		).toEqual({
			'in-time': 1,
			'late-at-target': 1,
			'late-at-box': 1,
			'late-in-pause': 1,
			'failed-status': 1,
		})
	})

	it('attributes refusals and failures at routers and gateways to their causes', () => {
		const refused = (kind: string, detail = '') => logLine('request-refused', { kind, detail })
		expect(
			countCauses(
				refused('budget-unknown'),
				refused('budget-spent'),
				refused('no-route'),
				refused('target-failed', 'silent'),
				refused('target-failed', 'read ECONNRESET'),
				refused('timed-out', 'time limit'),
				logLine('request-failed', { cause: 'answer broken off' }),
				logLine('request-cancelled', {}),
				logLine('request-refused', { type: 'budget-exhausted' }),
				logLine('request-billed', { request: 'x' }),
			),
		).toEqual({
			'refused-budget-unknown': 1,
			'refused-budget-spent': 2,
			'refused-at-fault': 1,
			'failed-silent': 1,
			'failed-broken': 2,
			'failed-deadline': 1,
			'caller-left': 1,
			'in-time': 1,
		})
	})

	it('counts a request without a logged end as failed-box-gone', () => {
		const chosen = logLine('target-chosen', { request: 'r-1' })
		expect(countCauses(chosen)).toEqual({ 'failed-box-gone': 1 })
		expect(countCauses(logLine('request-cancelled', { request: 'r-1' }), chosen)).toEqual({
			'caller-left': 1,
		})
	})

	it('counts by group and by second, largest first, in any order of lines', () => {
		const lines = [
			logLine('request-refused', { kind: 'no-target', route: 'b', account: 'acme' }, 2),
			logLine('request-refused', { kind: 'no-target', route: 'b', account: 'other', sent: 2 }, 0),
			answered({ route: 'a' }),
		]
		for (const order of [lines, [...lines].reverse()]) {
			const counter = new LossCounter()
			for (const line of order) counter.add(`  12.5 b-1 ${line}`)
			const report = counter.report()
			expect(report.requests).toBe(3)
			expect(report.repeated).toBe(1)
			expect(report.groups.route.map(([key, counts]) => [key, countLost(counts)])).toEqual([
				['b', 2],
				['a', 0],
			])
			expect(report.seconds.map(countLost)).toEqual([1, 0, 1])
			expect(renderLossChart(report)).toContain('refused-no-target')
		}
	})

	it('counts truncated and foreign lines and never throws', () => {
		const text = fc.oneof(
			fc.string(),
			fc.json(),
			fc.nat({ max: 150 }).map((length) => answered({}).slice(0, length)),
		)
		fc.assert(
			fc.property(fc.array(text), (lines) => {
				const counter = new LossCounter()
				for (const line of lines) counter.add(line)
				counter.add(answered({}))
				const report = counter.report()
				expect(report.requests).toBe(1)
				expect(report.foreignLines).toBe(lines.filter((line) => line.trim() !== '').length)
				renderLossChart(report)
			}),
			{ seed: 20261202, numRuns: 300 },
		)
	})
})
