import {
	TargetRegistry,
	brandId,
	type BoxName,
	type TargetIncarnation,
	type TargetWork,
} from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { PeerDatagrams } from './PeerDatagrams.js'
import { WorkSharing } from './WorkSharing.js'

describe('WorkSharing', () => {
	let work: TargetWork[]
	let intervalMs: number | undefined
	let sentCount: number
	let sharing: WorkSharing
	beforeEach(() => {
		vi.useFakeTimers()
		work = []
		sentCount = 0
		intervalMs = undefined
		const registry = new TargetRegistry()
		vi.spyOn(registry, 'openWork').mockImplementation(() => work)
		const datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'> = {
			onMessage: () => undefined,
			send: () => sentCount++,
		}
		sharing = new WorkSharing({
			box: brandId<BoxName>('box'),
			registry,
			datagrams: datagrams as PeerDatagrams,
			peers: () => ['10.0.0.1:1'],
			isHub: () => false,
			sendIntervalMs: () => intervalMs,
			now: () => Date.now(),
		})
		sharing.start()
	})
	afterEach(() => {
		sharing.stop()
		vi.useRealTimers()
	})

	/** Datagrams in a second in which the work changes every 25 ms, or not at all. */
	function sentInOneSecond(isChanging: boolean): number {
		sentCount = 0
		for (let tick = 0; tick < 40; tick++) {
			const openRequests = isChanging ? tick + 1 : 1
			const incarnation = brandId<TargetIncarnation>('t')
			work = [{ incarnation, prefillTokens: 0, openRequests }]
			vi.advanceTimersByTime(25)
		}
		return sentCount
	}

	it.each([
		[undefined, 40],
		[25, 40],
		[100, 10],
		[200, 5],
	])('sends changing work at intervals of %s ms', (interval, expected) => {
		intervalMs = interval
		expect(sentInOneSecond(true)).toBe(expected)
	})

	it.each([25, 100, 200])(
		'repeats unchanged work every 200 ms at intervals of %i ms',
		(interval) => {
			intervalMs = interval
			sentInOneSecond(false)
			expect(sentInOneSecond(false)).toBe(5)
		},
	)
})
