import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { SuspendAwareClock } from './SuspendAwareClock.js'

/** Days that are played; by hand, more. */
const RUNS = Number(process.env['CLOCK_RUNS'] ?? 300)
/** What a reading may be late by, for the grain of the boot clock and small jumps that count as none, in ms. */
const SLACK_MS = 60

/** A machine whose clocks are moved by hand. */
class Machine {
	/** Time that has truly passed, in ms. */
	truth = 0
	steady = 100
	private timeOfDay = 1_700_000_000_000
	private boot = 5_000
	readonly clock: SuspendAwareClock

	/** `isBootOurs`: the boot clock is that of this machine. */
	constructor(private readonly isBootOurs: boolean) {
		this.clock = new SuspendAwareClock({
			monotonic: () => this.steady,
			wallClock: () => this.timeOfDay,
			uptime: () => Math.floor(this.boot / 10) * 10,
		})
	}

	run(ms: number): void {
		for (let passed = 0; passed < ms; passed += 20) {
			this.steady += 20
			this.timeOfDay += 20
			this.boot += this.isBootOurs ? 20 : 7
			this.truth += 20
			this.clock.suspendAwareNow()
		}
	}

	suspend(ms: number): void {
		this.timeOfDay += ms
		this.boot += this.isBootOurs ? ms : 3
		this.truth += ms
	}

	setTimeOfDay(byMs: number): void {
		this.timeOfDay += byMs
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

function play(machine: Machine, day: readonly Step[], check: () => boolean): boolean {
	let before = machine.clock.suspendAwareNow()
	for (const [kind, ms] of day) {
		if (kind === 'run') machine.run(ms)
		else if (kind === 'suspend') machine.suspend(ms)
		else machine.setTimeOfDay(ms)
		machine.steady += 5
		machine.truth += 5
		const now = machine.clock.suspendAwareNow()
		if (now < before || !check()) return false
		before = now
	}
	return true
}

describe('WorldClock', () => {
	it('counts the time for which the machine was suspended; the time for work does not', () => {
		for (const isBootOurs of [true, false]) {
			const machine = new Machine(isBootOurs)
			machine.run(8_000)
			const [world, work] = [machine.clock.suspendAwareNow(), machine.clock.monotonicNow()]
			machine.suspend(8_000)
			machine.run(20)
			expect(machine.clock.suspendAwareNow() - world).toBeGreaterThanOrEqual(8_000)
			expect(machine.clock.suspendAwareNow() - world).toBeLessThan(8_100)
			expect(machine.clock.monotonicNow() - work).toBe(20)
		}
	})

	it('is not moved by a time of day that was set, where the boot clock tells', () => {
		const machine = new Machine(true)
		machine.run(8_000)
		const world = machine.clock.suspendAwareNow()
		for (const by of [2_000, -7_000, 30_000]) {
			machine.setTimeOfDay(by)
			machine.run(100)
		}
		expect(machine.clock.suspendAwareNow() - world).toBe(300)
	})

	it('takes a time of day that was set forward for a suspension where nothing tells them apart', () => {
		const machine = new Machine(false)
		machine.run(8_000)
		const world = machine.clock.suspendAwareNow()
		machine.setTimeOfDay(2_000)
		machine.run(100)
		expect(machine.clock.suspendAwareNow() - world).toBe(2_100)
		machine.setTimeOfDay(-2_000)
		machine.run(100)
		expect(machine.clock.suspendAwareNow() - world).toBe(2_200)
	})

	it('never goes back, and never lags behind the truth where the boot clock tells', () => {
		const property = fc.property(steps, (day) => {
			const machine = new Machine(true)
			machine.run(8_000)
			const offset = machine.clock.suspendAwareNow() - machine.truth
			let jumps = 0
			return play(machine, day, () => {
				jumps++
				const lag = machine.truth + offset - machine.clock.suspendAwareNow()
				return lag <= SLACK_MS * jumps
			})
		})
		fc.assert(property, { numRuns: RUNS, seed: 9 })
	})

	it('never goes back, and never lags where the time of day was not set back at once with a suspension', () => {
		const property = fc.property(steps, (day) => {
			const forward = day.map(([kind, ms]): Step => [kind, kind === 'set' ? Math.abs(ms) : ms])
			const machine = new Machine(false)
			machine.run(8_000)
			const offset = machine.clock.suspendAwareNow() - machine.truth
			let jumps = 0
			return play(machine, forward, () => {
				jumps++
				return machine.truth + offset - machine.clock.suspendAwareNow() <= SLACK_MS * jumps
			})
		})
		fc.assert(property, { numRuns: RUNS, seed: 10 })
	})
})
