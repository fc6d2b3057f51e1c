import { TargetRegistry, brandId, type LogEvent } from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import { describe, expect, it } from 'vitest'
import { applyTargetNotice } from '../applyTargetNotice.js'
import type { CallerRequest } from '../CallerRequest.js'
import type { GatewayContext } from '../GatewayContext.js'
import type { TargetNotice } from '../readTargetNotice.js'
import { targetEntryOf } from '../testBox.js'
import { describeSpeed } from './describeSpeed.js'

const TARGETS = ['a', 'b'].map((name) => targetEntryOf(name, 'unused:1'))

function noticeOf(load: TargetNotice['load']): TargetNotice {
	return {
		leaving: false,
		backoff: { kind: 'none' },
		rate: { kind: 'silent' },
		rejections: { kind: 'silent' },
		load,
		coldMs: undefined,
	}
}

/** Applies one load report of each target `times` times. Returns the registry, the log and the metrics. */
function applyLoads(load: TargetNotice['load'], times: number) {
	const registry = new TargetRegistry()
	registry.replace(TARGETS, 0)
	const events: LogEvent[] = []
	const metrics = new Metrics()
	const context = {
		metrics,
		now: () => 1_000,
		log: (event: LogEvent) => events.push(event),
		targetListAgeMs: () => 0,
	} as Partial<GatewayContext> as GatewayContext
	for (let i = 0; i < times; i++)
		for (const target of TARGETS) {
			const cost = { ms: 1, expectedMs: 1, prefillTokens: 0 }
			const placement = { target, cost, candidates: 1, loadAgeMs: -1 }
			const handle = registry.beginAttempt(placement, undefined, 1_000)
			const request = { id: `r${i}` } as Partial<CallerRequest> as CallerRequest
			applyTargetNotice(context, { handle, placement, request }, noticeOf(load))
			handle.end('good', 1_000)
		}
	return { registry, events, metrics: metrics.render({}) }
}

function choose(registry: TargetRegistry) {
	const [target] = TARGETS
	return registry.choose(
		{
			service: target!.service,
			zone: target!.zone,
			work: undefined,
			tried: new Set(),
			isFull: () => false,
			mayRunIn: () => true,
			hasIdleConnection: () => true,
		},
		1_000,
	)
}

describe('a current slowdown that cannot be parsed', () => {
	it('is logged once per target in bounded length, and counted each time', () => {
		const unreadableSlowdown = 'x'.repeat(5_000)
		const load = { running: 3, waiting: 1, slots: 8, unreadableSlowdown }
		const { registry, events, metrics } = applyLoads(load, 3)
		expect(events.map(({ name, fields }) => [name, fields['target']])).toEqual([
			['target-slowdown-unreadable', brandId('a')],
			['target-slowdown-unreadable', brandId('b')],
		])
		expect(String(events[0]?.fields['text']).length).toBeLessThanOrEqual(40)
		expect(metrics).toContain('stallwing_target_slowdowns_unreadable_total 6')
		// The other figures are used.
		expect(choose(registry)?.loadAgeMs).toBe(0)
	})

	it('is not reported for loads with a readable one or without one', () => {
		const load = { running: 3, waiting: 1, slots: 8 }
		for (const readable of [load, { ...load, currentSlowdown: 2.5 }]) {
			const { events, metrics } = applyLoads(readable, 2)
			expect(events).toEqual([])
			expect(metrics).not.toContain('slowdown')
		}
	})
})

describe('describeSpeed', () => {
	it('shows the factors behind the choice only for targets that report their slowdown', () => {
		const load = { running: 3, waiting: 1, slots: 8 }
		const without = choose(applyLoads(load, 1).registry)
		expect(describeSpeed(without!)).toEqual({})
		const reported = choose(applyLoads({ ...load, currentSlowdown: 2.5 }, 1).registry)
		expect(describeSpeed(reported!)).toMatchObject({ momentaryFactor: 2.5, momentaryAgeMs: 0 })
	})
})
