import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { MemoryBudget, type MemoryClass } from './MemoryBudget.js'

const SMALL_BOX = { processBytes: 210_000_000, heapBytes: 110_000_000 }
const KILOBYTE = 1_000

describe('MemoryBudget', () => {
	it('leaves room for the idle process and for buffers that are not reclaimed yet', () => {
		for (const processBytes of [160_000_000, 210_000_000, 250_000_000, 602_000_000]) {
			const budget = new MemoryBudget({ processBytes, heapBytes: 110_000_000 })
			expect(budget.bufferLimit * 2.5).toBeLessThanOrEqual(processBytes - 85_000_000)
			expect(budget.heapLimit).toBeLessThanOrEqual(110_000_000 / 2)
		}
	})

	it('leaves room for what V8 does not collect yet, and less than its minimum only to the minimum', () => {
		const minimum = new MemoryBudget({ processBytes: 0, heapBytes: 110_000_000 }).bufferLimit
		for (const processBytes of [100_000_000, 160_000_000, 180_000_000, 250_000_000]) {
			const { bufferLimit } = new MemoryBudget({ processBytes, heapBytes: 110_000_000 })
			const leftBytes = processBytes - 85_000_000 - 64 * 1024 * 1024
			expect(bufferLimit).toBeLessThanOrEqual(Math.max(minimum, leftBytes))
		}
	})

	it('serves small requests in a process that is smaller than expected', () => {
		const budget = new MemoryBudget({ processBytes: 60_000_000, heapBytes: 40_000_000 })
		expect(budget.mayAccept(KILOBYTE, 9)).toBe(true)
	})

	it('refuses large bodies before small ones, and less urgent requests before urgent ones', () => {
		const budget = new MemoryBudget(SMALL_BOX)
		budget.add('answers', budget.bufferLimit * 0.7)
		expect(budget.level).toBe('high')
		expect(budget.mayAccept(1_000_000, 0)).toBe(false)
		expect(budget.mayAccept(KILOBYTE, 9)).toBe(true)
		budget.add('answers', budget.bufferLimit * 0.15)
		expect(budget.level).toBe('full')
		expect([0, 1, 2, 9].map((rank) => budget.mayAccept(KILOBYTE, rank))).toEqual([
			true,
			true,
			true,
			false,
		])
		budget.add('answers', budget.bufferLimit * 0.05)
		expect([0, 1, 2, 9].map((rank) => budget.mayAccept(KILOBYTE, rank))).toEqual([
			true,
			false,
			false,
			false,
		])
	})

	it('counts the exchanges against the heap, which ends the process when it is exhausted', () => {
		const budget = new MemoryBudget(SMALL_BOX)
		budget.add('heads', budget.heapLimit)
		expect(budget.mayAccept(0, 0)).toBe(false)
	})

	it('never accepts bodies beyond its limit, whatever the order of requests', () => {
		const request = fc.record({
			bytes: fc.integer({ min: 0, max: 16_000_000 }),
			rank: fc.integer({ min: 0, max: 9 }),
			ends: fc.boolean(),
		})
		const property = fc.property(fc.array(request, { maxLength: 200 }), (requests) => {
			const budget = new MemoryBudget(SMALL_BOX)
			for (const { bytes, rank, ends } of requests) {
				if (!budget.mayAccept(bytes, rank)) continue
				budget.add('bodies', bytes)
				if (budget.bufferBytes >= budget.bufferLimit) return false
				if (ends) budget.add('bodies', -bytes)
			}
			return true
		})
		fc.assert(property)
	})

	it('accepts a rank whenever it accepts a less urgent one', () => {
		const share = fc.double({ min: 0, max: 1.2, noNaN: true })
		const memoryClass = fc.constantFrom<MemoryClass>('heads', 'bodies', 'retries', 'answers')
		const property = fc.property(share, memoryClass, fc.nat(100_000), (use, held, bytes) => {
			const budget = new MemoryBudget(SMALL_BOX)
			budget.add(held, use * (held === 'heads' ? budget.heapLimit : budget.bufferLimit))
			for (let rank = 1; rank <= 9; rank++)
				if (budget.mayAccept(bytes, rank) && !budget.mayAccept(bytes, rank - 1)) return false
			return true
		})
		fc.assert(property)
	})

	it('lets bodies without a length grow, large ones only below the level high', () => {
		const budget = new MemoryBudget(SMALL_BOX)
		expect(budget.mayGrow(10_000_000)).toBe(true)
		budget.add('bodies', budget.bufferLimit * 0.7)
		expect(budget.mayGrow(10_000_000)).toBe(false)
		expect(budget.mayGrow(KILOBYTE)).toBe(true)
		budget.add('bodies', budget.bufferLimit * 0.3)
		expect(budget.mayGrow(KILOBYTE)).toBe(false)
	})
})
