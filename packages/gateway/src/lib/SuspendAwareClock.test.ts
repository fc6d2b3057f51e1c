import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { SuspendAwareClock } from './SuspendAwareClock.js'

/** Number of runs of each property. */
const RUNS = Number(process.env['CLOCK_RUNS'] ?? 300)
/** Largest lag per step due to the resolution of the uptime and to jumps below the detection threshold, in ms. */
const SLACK_MS = 60

/** Machine whose clocks the test controls. */
class FakeMachine {
	/** Actual elapsed time, in ms. */
	actualMs = 0
	monotonic = 100
	private wallClock = 1_700_000_000_000
	private uptime = 5_000
	readonly clock: SuspendAwareClock

	/** If `isUptimeOwn` is false, the uptime is that of another machine. */
	constructor(private readonly isUptimeOwn: boolean) {
		this.clock = new SuspendAwareClock({
			monotonic: () => this.monotonic,
			wallClock: () => this.wallClock,
			uptime: () => Math.floor(this.uptime / 10) * 10,
		})
	}

	run(ms: number): void {
		for (let elapsed = 0; elapsed < ms; elapsed += 20) {
			this.monotonic += 20
			this.wallClock += 20
			this.uptime += this.isUptimeOwn ? 20 : 7
			this.actualMs += 20
			this.clock.suspendAwareNow()
		}
	}

	suspend(ms: number): void {
		this.wallClock += ms
		this.uptime += this.isUptimeOwn ? ms : 3
		this.actualMs += ms
	}

	adjustWallClock(byMs: number): void {
		this.wallClock += byMs
	}
}

type Step = readonly ['run' | 'suspend' | 'set', number]

const steps = fc.array(
	fc.oneof(
		fc.tuple(fc.constant('run' as const), fc.integer({ min: 20, max: 4_000 })),
		fc.tuple(fc.constant('suspend' as const), fc.integer({ min: 100, max: 30_000 })),
		fc.tuple(fc.constant('set' as const), fc.integer({ min: -20_000, max: 20_000 })),
	),
	{ maxLength: 20 },
)

function runSteps(machine: FakeMachine, sequence: readonly Step[], check: () => boolean): boolean {
	let before = machine.clock.suspendAwareNow()
	for (const [kind, ms] of sequence) {
		if (kind === 'run') machine.run(ms)
		else if (kind === 'suspend') machine.suspend(ms)
		else machine.adjustWallClock(ms)
		machine.monotonic += 5
		machine.actualMs += 5
		const now = machine.clock.suspendAwareNow()
		if (now < before || !check()) return false
		before = now
	}
	return true
}

describe('SuspendAwareClock', () => {
	it('includes suspended time in suspendAwareNow but not in monotonicNow', () => {
		for (const isUptimeOwn of [true, false]) {
			const machine = new FakeMachine(isUptimeOwn)
			machine.run(8_000)
			const [suspendAware, monotonic] = [
				machine.clock.suspendAwareNow(),
				machine.clock.monotonicNow(),
			]
			machine.suspend(8_000)
			machine.run(20)
			expect(machine.clock.suspendAwareNow() - suspendAware).toBeGreaterThanOrEqual(8_000)
			expect(machine.clock.suspendAwareNow() - suspendAware).toBeLessThan(8_100)
			expect(machine.clock.monotonicNow() - monotonic).toBe(20)
		}
	})

	it('ignores adjustments of the wall clock if the uptime is trusted', () => {
		const machine = new FakeMachine(true)
		machine.run(8_000)
		const startedAt = machine.clock.suspendAwareNow()
		for (const by of [2_000, -7_000, 30_000]) {
			machine.adjustWallClock(by)
			machine.run(100)
		}
		expect(machine.clock.suspendAwareNow() - startedAt).toBe(300)
	})

	it('treats a wall clock that was set forward as a suspension without a trusted uptime', () => {
		const machine = new FakeMachine(false)
		machine.run(8_000)
		const startedAt = machine.clock.suspendAwareNow()
		machine.adjustWallClock(2_000)
		machine.run(100)
		expect(machine.clock.suspendAwareNow() - startedAt).toBe(2_100)
		machine.adjustWallClock(-2_000)
		machine.run(100)
		expect(machine.clock.suspendAwareNow() - startedAt).toBe(2_200)
	})

	it('never decreases, and never lags behind actual time with a trusted uptime', () => {
		const property = fc.property(steps, (sequence) => {
			const machine = new FakeMachine(true)
			machine.run(8_000)
			const offset = machine.clock.suspendAwareNow() - machine.actualMs
			let jumps = 0
			return runSteps(machine, sequence, () => {
				jumps++
				const lag = machine.actualMs + offset - machine.clock.suspendAwareNow()
				return lag <= SLACK_MS * jumps
			})
		})
		fc.assert(property, { numRuns: RUNS, seed: 9 })
	})

	it('never decreases, and without a trusted uptime never lags unless the wall clock is set back', () => {
		const property = fc.property(steps, (sequence) => {
			const forward = sequence.map(([kind, ms]): Step => [kind, kind === 'set' ? Math.abs(ms) : ms])
			const machine = new FakeMachine(false)
			machine.run(8_000)
			const offset = machine.clock.suspendAwareNow() - machine.actualMs
			let jumps = 0
			return runSteps(machine, forward, () => {
				jumps++
				return machine.actualMs + offset - machine.clock.suspendAwareNow() <= SLACK_MS * jumps
			})
		})
		fc.assert(property, { numRuns: RUNS, seed: 10 })
	})
})
