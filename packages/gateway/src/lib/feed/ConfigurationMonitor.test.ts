import type { LogEvent } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import { ConfigurationMonitor } from './ConfigurationMonitor.js'

// Guards against a box that serves with an old configuration without a line of it.

describe('ConfigurationMonitor', () => {
	it('logs once when the configuration is no longer confirmed, and once when it is again', () => {
		const events: LogEvent[] = []
		const versions: number[] = []
		let isCurrent = false
		let now = 0
		const monitor = new ConfigurationMonitor({
			version: () => versions.at(-1),
			isCurrent: () => isCurrent,
			confirmationAgeMs: () => 3_100,
			sources: () => ({ confirmedBy: 'store', unanswered: 4, failed: 1 }),
			delays: () => ({ boxDelayMs: 20, linkDelayMs: 600 }),
			now: () => now,
			log: (event) => events.push(event),
		})
		monitor.check()
		expect(events).toEqual([])
		versions.push(7)
		monitor.check()
		now = 900
		monitor.check()
		isCurrent = true
		now = 1_500
		monitor.check()
		monitor.check()
		expect(events).toEqual([
			{
				name: 'configuration-unconfirmed',
				fields: {
					version: 7,
					confirmationAgeMs: 3_100,
					confirmedBy: 'store',
					unanswered: 4,
					failed: 1,
					boxDelayMs: 20,
					linkDelayMs: 600,
				},
			},
			{
				name: 'configuration-confirmed',
				fields: {
					version: 7,
					unconfirmedMs: 1_500,
					confirmedBy: 'store',
					unanswered: 4,
					failed: 1,
				},
			},
		])
	})
})
