import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { StoreRecovery } from './StoreRecovery.js'
import { sleep } from '../sleep.js'

const PING_TIMEOUT_MS = 400

describe('StoreRecovery', () => {
	let isDown: boolean
	let pings: number
	let recovery: StoreRecovery

	beforeEach(() => {
		vi.useFakeTimers()
		isDown = true
		pings = 0
		recovery = new StoreRecovery({
			ping: async () => {
				pings++
				const wasDown = isDown
				await sleep(wasDown ? PING_TIMEOUT_MS : 4)
				return !wasDown
			},
			sleep,
		})
	})

	afterEach(() => {
		recovery.stop()
		vi.useRealTimers()
	})

	it('resolves all waiting callers within 0.7 s of the recovery, with one ping at a time', async () => {
		let resolved = 0
		void recovery.waitForRecovery().then(() => resolved++)
		void recovery.waitForRecovery().then(() => resolved++)
		await vi.advanceTimersByTimeAsync(5_900)
		expect(pings).toBe(10)
		isDown = false
		await vi.advanceTimersByTimeAsync(700)
		expect(resolved).toBe(2)
	})

	it('wakes callers that pause during the recovery and lets later ones sleep', async () => {
		let hasWoken = false
		void recovery.pause(5_000).then(() => (hasWoken = true))
		await vi.advanceTimersByTimeAsync(1_000)
		isDown = false
		void recovery.waitForRecovery()
		await vi.advanceTimersByTimeAsync(100)
		expect(hasWoken).toBe(true)
		let hasSlept = false
		void recovery.pause(500).then(() => (hasSlept = true))
		await vi.advanceTimersByTimeAsync(400)
		expect(hasSlept).toBe(false)
		await vi.advanceTimersByTimeAsync(100)
		expect(hasSlept).toBe(true)
	})

	it('polls again after another failed call', async () => {
		isDown = false
		const firstWait = recovery.waitForRecovery()
		await vi.advanceTimersByTimeAsync(100)
		await firstWait
		await recovery.waitForRecovery()
		expect(pings).toBe(1)
		isDown = true
		recovery.noteUnreachable()
		let hasResolved = false
		void recovery.waitForRecovery().then(() => (hasResolved = true))
		await vi.advanceTimersByTimeAsync(2_000)
		expect(hasResolved).toBe(false)
	})
})
