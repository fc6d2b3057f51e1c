import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { readAllowanceRow, readSpendingMark } from './allowanceDocuments.js'

/** Documents that are tried; by hand, many more. */
const CASES = Number(process.env['FUZZ_CASES'] ?? 2_000)

const ROW = {
	budgetsVersion: 3,
	budgets: { acme: 100 },
	boxes: {
		'box-1': { holder: 'h', address: '1.2.3.4:5', drawn: { acme: 10 }, spent: { acme: 2 } },
	},
}
const MARK = { holder: 'h', wallTime: 7, marks: { acme: 5 } }

function encode(document: unknown): Buffer {
	return Buffer.from(JSON.stringify(document))
}

describe('records of money', () => {
	it('are read as they were written', () => {
		expect(readAllowanceRow(encode(ROW))).toEqual(ROW)
		expect(readSpendingMark(encode(MARK))).toEqual(MARK)
	})

	it('are read where a box gave back more than it drew: its part is below zero', () => {
		const box = { ...ROW.boxes['box-1'], drawn: { acme: -677 }, spent: { acme: -677 } }
		const row = { ...ROW, boxes: { 'box-1': box } }
		expect(readAllowanceRow(encode(row))).toEqual(row)
	})

	it('of another writer are none', () => {
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
		for (const mark of [null, {}, { ...MARK, marks: { acme: null } }, { ...MARK, wallTime: '7' }])
			expect(readSpendingMark(encode(mark)), JSON.stringify(mark)).toBeUndefined()
	})

	it('never make a reader throw', () => {
		const documents = fc.oneof(
			fc.uint8Array().map((bytes) => Buffer.from(bytes)),
			fc.json().map((text) => Buffer.from(text)),
			fc.jsonValue().map((boxes) => encode({ ...ROW, boxes })),
			fc.jsonValue().map((marks) => encode({ ...MARK, marks })),
		)
		const property = fc.property(documents, (bytes) => {
			const row = readAllowanceRow(bytes)
			const mark = readSpendingMark(bytes)
			return (row === undefined || 'boxes' in row) && (mark === undefined || 'marks' in mark)
		})
		fc.assert(property, { numRuns: CASES, seed: 4 })
	})
})
