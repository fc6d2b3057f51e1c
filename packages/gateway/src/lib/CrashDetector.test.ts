import {
	RequestQuarantine,
	brandId,
	incarnationOf,
	type LogEvent,
	type RequestFingerprint,
} from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import { beforeEach, describe, expect, it } from 'vitest'
import type { ConnectionPool, ProbeResult } from './ConnectionPool.js'
import { CrashDetector, type BrokenRun } from './CrashDetector.js'
import { targetEntryOf } from './testBox.js'

const PENDING_RUN_RETENTION_MS = 10_000
const TARGET = { ...targetEntryOf('t1', '127.0.0.1:1'), bornAt: 1 }
const REQUEST = { fingerprint: brandId<RequestFingerprint>('f'), hint: 1 }

describe('CrashWatch', () => {
	let quarantine: RequestQuarantine
	let watch: CrashDetector
	let logged: LogEvent[]
	let now: number
	let listed: boolean
	let result: ProbeResult
	let probes: number

	beforeEach(() => {
		quarantine = new RequestQuarantine()
		logged = []
		now = 100
		listed = true
		result = 'accepted'
		probes = 0
		watch = new CrashDetector({
			quarantine,
			pool: () =>
				({
					probe: () => {
						probes++
						return Promise.resolve(result)
					},
				}) as Partial<ConnectionPool> as ConnectionPool,
			isAvailable: () => listed,
			onRecordChanged: () => undefined,
			metrics: new Metrics(),
			now: () => now,
			log: (event) => logged.push(event),
		})
	})

	function broken(more: Partial<BrokenRun> = {}): Promise<void> {
		return watch.noteBrokenRun({
			identity: REQUEST,
			target: TARGET,
			startedAt: now - 60,
			closedByTarget: true,
			...more,
		})
	}

	function lives(): number {
		return quarantine.all[0]?.runs.length ?? 0
	}

	it('holds the end of a target against a request that it ran', async () => {
		result = 'refused'
		await broken()
		expect(quarantine.all[0]?.runs).toEqual([
			{ incarnation: incarnationOf(TARGET), startedAt: 40, endedAt: 100 },
		])
		expect(logged.map((event) => event.name)).toEqual(['target-ended', 'request-suspected'])
	})

	it('holds nothing against a request whose target still takes connections', async () => {
		await broken()
		expect(quarantine.all).toEqual([])
	})

	it('holds nothing against a request that a planned end cut off', async () => {
		result = 'refused'
		listed = false
		await broken()
		expect(quarantine.all).toEqual([])
		expect(probes).toBe(0)
	})

	it('asks once where many answers break off together, and holds it against each', async () => {
		result = 'refused'
		const other = { fingerprint: brandId<RequestFingerprint>('g'), hint: 2 }
		await Promise.all([broken(), broken({ identity: other }), broken()])
		expect(probes).toBe(1)
		expect(quarantine.all).toHaveLength(2)
		// Known to be over: the next one needs no connection.
		await broken({ identity: { fingerprint: brandId<RequestFingerprint>('h'), hint: 3 } })
		expect(probes).toBe(1)
		expect(quarantine.all).toHaveLength(3)
	})

	it('learns from the list that a silent target ended, within some seconds', async () => {
		await broken({ closedByTarget: false })
		expect(probes).toBe(0)
		expect(lives()).toBe(0)
		now += 4_000
		watch.noteTargetChanges([TARGET], [])
		expect(lives()).toBe(1)
		await broken({ closedByTarget: false, target: { ...TARGET, bornAt: 2 } })
		now += PENDING_RUN_RETENTION_MS + 1
		watch.noteTargetChanges([{ ...TARGET, bornAt: 2 }], [])
		expect(lives()).toBe(1)
	})

	it('holds an end against a request whose answer breaks off after the new start was heard of', async () => {
		watch.noteTargetChanges([TARGET], [])
		listed = false
		await broken({ closedByTarget: false })
		expect(lives()).toBe(1)
	})

	it('holds nothing against a request whose target was there after its answer broke off, and ended later', async () => {
		await broken()
		now += 1_000
		watch.noteTargetChanges([TARGET], [])
		expect(lives()).toBe(0)
	})

	it('holds nothing against a request whose answer broke off long before the target ended', async () => {
		result = 'no-answer'
		await broken()
		now += PENDING_RUN_RETENTION_MS + 1
		result = 'refused'
		const other = { fingerprint: brandId<RequestFingerprint>('g'), hint: 2 }
		await broken({ identity: other })
		expect(quarantine.all.map((record) => record.fingerprint)).toEqual(['g'])
	})

	it('takes a target that left as planned for no end', async () => {
		await broken({ closedByTarget: false })
		watch.noteTargetChanges([], [{ ...TARGET, leaving: true }])
		expect(lives()).toBe(0)
		watch.noteTargetChanges([], [TARGET])
		expect(lives()).toBe(1)
	})
})
