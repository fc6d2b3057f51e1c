import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { DeclaredWork } from '../traffic/DeclaredWork.js'
import { displacementCostMs, heldTokens, memoryFit, tokensToHold } from './engineMemory.js'

const CAPACITY = 232_000
const SPEED = { tokensPerMs: 38.7, runningRequests: 4 }

function workOf(inputTokens: number, maxOutputTokens: number): DeclaredWork {
	return { inputTokens, maxOutputTokens, parts: [] }
}

const work = fc
	.tuple(fc.nat(60_000), fc.nat(4_000))
	.map(([inputTokens, maxOutputTokens]) => workOf(inputTokens, maxOutputTokens))

describe('memoryFit', () => {
	it('never sends what cannot fit into an empty engine', () => {
		const empty = { capacityTokens: CAPACITY, heldTokens: 0 }
		expect(memoryFit(empty, workOf(CAPACITY, 1)).kind).toBe('never-fits')
		expect(memoryFit(empty, workOf(CAPACITY, 0))).toEqual({ kind: 'fits', freeTokens: 0 })
	})

	it('counts a prompt that a running request holds already only once', () => {
		const engine = { capacityTokens: CAPACITY, heldTokens: CAPACITY - 1_000 }
		expect(memoryFit(engine, workOf(50_000, 500))).toEqual({ kind: 'displaces', tokens: 49_500 })
		expect(memoryFit(engine, workOf(50_000, 500), 50_000).kind).toBe('fits')
		expect(tokensToHold(workOf(10, 5), 99)).toBe(5)
	})

	it('displaces no more than is held, and nothing if everything fits', () => {
		const property = fc.property(fc.array(work, { maxLength: 40 }), work, (running, next) => {
			const held = heldTokens(running)
			const fit = memoryFit({ capacityTokens: CAPACITY, heldTokens: held }, next)
			const total = held + heldTokens([next])
			if (fit.kind === 'never-fits') return heldTokens([next]) > CAPACITY
			if (fit.kind === 'fits') return total <= CAPACITY && fit.freeTokens === CAPACITY - total
			return total > CAPACITY && fit.tokens <= held && fit.tokens > 0
		})
		fc.assert(property)
	})

	it('costs more the more is displaced and the more requests wait', () => {
		const property = fc.property(fc.nat(200_000), fc.nat(30_000), (held, more) => {
			const cost = (heldNow: number, runningRequests: number): number =>
				displacementCostMs(
					memoryFit({ capacityTokens: CAPACITY, heldTokens: heldNow }, workOf(50_000, 500)),
					{ ...SPEED, runningRequests },
				)
			return cost(held, 4) <= cost(held + more, 4) && cost(held, 4) <= cost(held, 8)
		})
		fc.assert(property)
		expect(displacementCostMs({ kind: 'never-fits' }, SPEED)).toBe(Infinity)
		expect(displacementCostMs({ kind: 'fits', freeTokens: 0 }, SPEED)).toBe(0)
	})
})
