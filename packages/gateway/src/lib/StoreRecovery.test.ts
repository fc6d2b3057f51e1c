import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { StoreRecovery } from './StoreRecovery.js'
import { sleep } from './sleep.js'

const LOST_CALL_MS = 400

describe('StoreReturn', () => {
	let isAway: boolean
	let pings: number
	let storeReturn: StoreRecovery

	beforeEach(() => {
		vi.useFakeTimers()
		isAway = true
		pings = 0
		storeReturn = new StoreRecovery({
			ping: async () => {
				pings++
				const wasAway = isAway
				await sleep(wasAway ? LOST_CALL_MS : 4)
				return !wasAway
			},
			sleep,
		})
	})

	afterEach(() => {
		storeReturn.stop()
		vi.useRealTimers()
	})

	it('tells all that wait within 0.7 s of the return, by one read at a time', async () => {
		let told = 0
		void storeReturn.waitForRecovery().then(() => told++)
		void storeReturn.waitForRecovery().then(() => told++)
		await vi.advanceTimersByTimeAsync(5_900)
		expect(pings).toBe(10)
		isAway = false
		await vi.advanceTimersByTimeAsync(700)
		expect(told).toBe(2)
	})

	it('wakes those that sleep meanwhile, and lets others sleep', async () => {
		let woken = false
		void storeReturn.pause(5_000).then(() => (woken = true))
		await vi.advanceTimersByTimeAsync(1_000)
		isAway = false
		void storeReturn.waitForRecovery()
		await vi.advanceTimersByTimeAsync(100)
		expect(woken).toBe(true)
		let isRested = false
		void storeReturn.pause(500).then(() => (isRested = true))
		await vi.advanceTimersByTimeAsync(400)
		expect(isRested).toBe(false)
		await vi.advanceTimersByTimeAsync(100)
		expect(isRested).toBe(true)
	})

	it('looks anew once a call is lost again', async () => {
		isAway = false
		const first = storeReturn.waitForRecovery()
		await vi.advanceTimersByTimeAsync(100)
		await first
		await storeReturn.waitForRecovery()
		expect(pings).toBe(1)
		isAway = true
		storeReturn.noteUnreachable()
		let told = false
		void storeReturn.waitForRecovery().then(() => (told = true))
		await vi.advanceTimersByTimeAsync(2_000)
		expect(told).toBe(false)
	})
})
