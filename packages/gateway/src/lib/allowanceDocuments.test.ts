import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { readAllowanceRow, readSpendingLimits } from './allowanceDocuments.js'

/** Number of random documents; an environment variable overrides it. */
const RANDOM_DOCUMENTS = Number(process.env['FUZZ_CASES'] ?? 2_000)

const ROW = {
	budgetsVersion: 3,
	budgets: { acme: 100 },
	boxes: {
		'box-1': { holder: 'h', address: '1.2.3.4:5', drawn: { acme: 10 }, spent: { acme: 2 } },
	},
}
const SPENDING_LIMITS = { holder: 'h', wallTime: 7, marks: { acme: 5 } }

function encode(document: unknown): Buffer {
	return Buffer.from(JSON.stringify(document))
}

describe('allowance documents', () => {
	it('are parsed unchanged', () => {
		expect(readAllowanceRow(encode(ROW))).toEqual(ROW)
		expect(readSpendingLimits(encode(SPENDING_LIMITS))).toEqual(SPENDING_LIMITS)
	})

	it('may contain negative draws, when a box returned tokens that it had borrowed', () => {
		const box = { ...ROW.boxes['box-1'], drawn: { acme: -677 }, spent: { acme: -677 } }
		const row = { ...ROW, boxes: { 'box-1': box } }
		expect(readAllowanceRow(encode(row))).toEqual(row)
	})

	it('are rejected if a field is missing or has the wrong type', () => {
		const box = ROW.boxes['box-1']
		for (const row of [
			null,
			[],
			{},
			{ ...ROW, budgets: null },
			{ ...ROW, budgets: { acme: -1 } },
			{ ...ROW, budgets: { acme: '100' } },
			{ ...ROW, boxes: [] },
			{ ...ROW, boxes: { 'box-1': { ...box, drawn: undefined } } },
			{ ...ROW, boxes: { 'box-1': { ...box, spent: { acme: 'all' } } } },
			{ ...ROW, boxes: { 'box-1': { ...box, rates: 3 } } },
		])
			expect(readAllowanceRow(encode(row)), JSON.stringify(row)).toBeUndefined()
		for (const spendingLimits of [
			null,
			{},
			{ ...SPENDING_LIMITS, marks: { acme: null } },
			{ ...SPENDING_LIMITS, wallTime: '7' },
		])
			expect(
				readSpendingLimits(encode(spendingLimits)),
				JSON.stringify(spendingLimits),
			).toBeUndefined()
	})

	it('never cause an exception', () => {
		const documents = fc.oneof(
			fc.uint8Array().map((bytes) => Buffer.from(bytes)),
			fc.json().map((text) => Buffer.from(text)),
			fc.jsonValue().map((boxes) => encode({ ...ROW, boxes })),
			fc.jsonValue().map((marks) => encode({ ...SPENDING_LIMITS, marks })),
		)
		const property = fc.property(documents, (bytes) => {
			const row = readAllowanceRow(bytes)
			const limits = readSpendingLimits(bytes)
			return (row === undefined || 'boxes' in row) && (limits === undefined || 'marks' in limits)
		})
		fc.assert(property, { numRuns: RANDOM_DOCUMENTS, seed: 4 })
	})
})
