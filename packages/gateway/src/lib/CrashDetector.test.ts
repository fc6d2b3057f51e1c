import {
	RequestQuarantine,
	brandId,
	incarnationOf,
	type LogEvent,
	type RequestFingerprint,
} from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import { beforeEach, describe, expect, it } from 'vitest'
import { CrashDetector, type BrokenRun } from './CrashDetector.js'
import type { LifeSign } from './liveness/TargetLiveness.js'
import { targetEntryOf } from './testBox.js'

const PENDING_RUN_RETENTION_MS = 10_000
const TARGET = { ...targetEntryOf('t1', '127.0.0.1:1'), bornAt: 1 }
const REQUEST = { fingerprint: brandId<RequestFingerprint>('f'), hint: 1 }

describe('CrashDetector', () => {
	let quarantine: RequestQuarantine
	let detector: CrashDetector
	let logEvents: LogEvent[]
	let now: number
	let isAvailable: boolean
	let sign: LifeSign
	let checks: number
	let reachesOthers: boolean

	beforeEach(() => {
		quarantine = new RequestQuarantine()
		logEvents = []
		now = 100
		isAvailable = true
		sign = 'answered'
		checks = 0
		reachesOthers = true
		detector = new CrashDetector({
			quarantine,
			checkLife: () => {
				checks++
				return Promise.resolve(sign)
			},
			isAvailable: () => isAvailable,
			reachesAnotherTarget: () => Promise.resolve(reachesOthers),
			onCrashedRun: () => undefined,
			onRecordChanged: () => undefined,
			metrics: new Metrics(),
			now: () => now,
			log: (event) => logEvents.push(event),
		})
	})

	function interruptRun(overrides: Partial<BrokenRun> = {}): Promise<void> {
		return detector.noteBrokenRun({
			identity: REQUEST,
			parts: [],
			target: TARGET,
			startedAt: now - 60,
			closedByTarget: true,
			...overrides,
		})
	}

	function crashCount(): number {
		return quarantine.all[0]?.runs.length ?? 0
	}

	it('records no crash while this box reaches no other target, until the list shows one', async () => {
		sign = 'refused'
		reachesOthers = false
		await interruptRun()
		expect(crashCount()).toBe(0)
		detector.noteTargetChanges([TARGET], [])
		expect(crashCount()).toBe(1)
	})

	it('records a crash for a request that ran on a crashed target', async () => {
		sign = 'refused'
		await interruptRun()
		expect(quarantine.all[0]?.runs).toEqual([
			{ incarnation: incarnationOf(TARGET), startedAt: 40, endedAt: 100 },
		])
		expect(logEvents.map((event) => event.name)).toEqual(['target-ended', 'request-suspected'])
	})

	it('records nothing if the target is alive', async () => {
		await interruptRun()
		expect(quarantine.all).toEqual([])
	})

	it('records nothing for a request that a planned shutdown interrupted', async () => {
		sign = 'refused'
		isAvailable = false
		await interruptRun()
		expect(quarantine.all).toEqual([])
		expect(checks).toBe(0)
	})

	it('records a crash for each request if several responses are interrupted together', async () => {
		sign = 'refused'
		const other = { fingerprint: brandId<RequestFingerprint>('g'), hint: 2 }
		await Promise.all([interruptRun(), interruptRun({ identity: other }), interruptRun()])
		expect(quarantine.all).toHaveLength(2)
		const checksBefore = checks
		// The incarnation is known to have ended, so the next interrupted run needs no check.
		await interruptRun({ identity: { fingerprint: brandId<RequestFingerprint>('h'), hint: 3 } })
		expect(checks).toBe(checksBefore)
		expect(quarantine.all).toHaveLength(3)
	})

	it('records a crash at once if another target answers at the address', async () => {
		sign = 'other-target'
		await interruptRun()
		expect(crashCount()).toBe(1)
	})

	it.each<LifeSign>(['no-answer', 'unnamed', 'refused'])(
		'records a crash once the list shows it if the check showed %s, and no other target is reached',
		async (shown) => {
			sign = shown
			reachesOthers = false
			await interruptRun()
			expect(crashCount()).toBe(0)
			detector.noteTargetChanges([TARGET], [])
			expect(crashCount()).toBe(1)
		},
	)

	it('detects from the target list that an unresponsive target crashed, within the retention period', async () => {
		await interruptRun({ closedByTarget: false })
		expect(checks).toBe(0)
		expect(crashCount()).toBe(0)
		now += 4_000
		detector.noteTargetChanges([TARGET], [])
		expect(crashCount()).toBe(1)
		await interruptRun({ closedByTarget: false, target: { ...TARGET, bornAt: 2 } })
		now += PENDING_RUN_RETENTION_MS + 1
		detector.noteTargetChanges([{ ...TARGET, bornAt: 2 }], [])
		expect(crashCount()).toBe(1)
	})

	it('records a crash for a request whose response is interrupted after the restart is known', async () => {
		detector.noteTargetChanges([TARGET], [])
		isAvailable = false
		await interruptRun({ closedByTarget: false })
		expect(crashCount()).toBe(1)
	})

	it('records nothing if the target was alive after the interruption and restarted later', async () => {
		await interruptRun()
		now += 1_000
		detector.noteTargetChanges([TARGET], [])
		expect(crashCount()).toBe(0)
	})

	it('records nothing for a response interrupted longer than the retention period ago', async () => {
		sign = 'no-answer'
		await interruptRun()
		now += PENDING_RUN_RETENTION_MS + 1
		sign = 'refused'
		const other = { fingerprint: brandId<RequestFingerprint>('g'), hint: 2 }
		await interruptRun({ identity: other })
		expect(quarantine.all.map((record) => record.fingerprint)).toEqual(['g'])
	})

	it('does not treat the removal of a leaving target as a crash', async () => {
		await interruptRun({ closedByTarget: false })
		detector.noteTargetChanges([], [{ ...TARGET, leaving: true }])
		expect(crashCount()).toBe(0)
		detector.noteTargetChanges([], [TARGET])
		expect(crashCount()).toBe(1)
	})
})
