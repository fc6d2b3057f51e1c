import { describe, expect, it } from 'vitest'
import { brandId, type AccountName, type BoxName, type Incarnation } from '../ids.js'
import { maxDrawnByOthers, isDrawKnown, type AllowanceRow, type BoxDraws } from './AllowanceRow.js'
import { mergeLostDraws } from './mergeLostDraws.js'

const ACCOUNT = brandId<AccountName>('acme')

function box(name: number): BoxName {
	return brandId<BoxName>(`box-${name}`)
}

function draws(era: number | undefined, drawn: number, claimedIn = 1): BoxDraws {
	return {
		holder: brandId<Incarnation>('holder'),
		address: '10.0.0.1:1',
		drawn: { [ACCOUNT]: drawn },
		spent: {},
		claimedIn,
		...(era !== undefined && { era }),
	}
}

function rowOf(...boxes: readonly BoxDraws[]): AllowanceRow {
	const entries = boxes.map((one, index) => [box(index + 1), one])
	return { budgetsVersion: 1, budgets: { [ACCOUNT]: 100 }, boxes: Object.fromEntries(entries) }
}

function takenByOthers(row: AllowanceRow): number {
	return maxDrawnByOthers(row, ACCOUNT, box(1), 100, 2)
}

describe('the record of draws in a new era of the store', () => {
	it('tells all that boxes have drawn which have written since, or are of an older version', () => {
		expect(takenByOthers(rowOf(draws(2, 0), draws(2, 10), draws(undefined, 5)))).toBe(15)
	})

	it('may lack draws of boxes while too few have written that were told of them', () => {
		expect(takenByOthers(rowOf(draws(2, 0), draws(1, 10), draws(1, 5), draws(2, 1)))).toBe(16)
		expect(takenByOthers(rowOf(draws(2, 0), draws(1, 10), draws(1, 5), draws(1, 1)))).toBe(100)
	})

	it('asks nobody who has only begun in this era what was drawn before', () => {
		const begun = draws(2, 0, 2)
		expect(isDrawKnown(rowOf(draws(2, 0), draws(1, 10), begun), box(2), 2)).toBe(true)
		expect(isDrawKnown(rowOf(begun, draws(1, 10), begun), box(2), 2)).toBe(false)
	})

	it('knows nothing of a box that it lacks where it knows of no other', () => {
		expect(isDrawKnown(rowOf(), box(1), 2)).toBe(false)
		expect(isDrawKnown(rowOf(draws(2, 0), draws(2, 0)), box(3), 2)).toBe(true)
	})

	it('takes the larger of what the copy and memory tell of boxes that have not written since', () => {
		const copied = rowOf(draws(2, 1), draws(1, 10), draws(1, 30))
		const lost = rowOf(draws(1, 50), draws(1, 20), draws(1, 25), draws(1, 7))
		const merged = mergeLostDraws(copied, lost, 2)
		const drawn = Object.values<BoxDraws>(merged.boxes).map((one) => one.drawn[ACCOUNT])
		expect(drawn).toEqual([1, 20, 30, 7])
	})
})
