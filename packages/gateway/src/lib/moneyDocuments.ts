import type { AllowanceRow, SpendingMark } from '@stallwing/core'

type Fields = Readonly<Record<string, unknown>>

/** Reads the shared record of draws; undefined where the bytes are none. */
export function readAllowanceRow(value: Buffer): AllowanceRow | undefined {
	const row = readFields(value)
	if (!row || !isAmounts(row.budgets) || !isFields(row.boxes)) return undefined
	if (!Object.values(row.boxes).every(isBoxDraws) || !isNumberOrMissing(row.era)) return undefined
	if (row.budgetsVersion !== undefined)
		return isAmount(row.budgetsVersion) ? (row as unknown as AllowanceRow) : undefined
	// An older version names a revision of the store instead, which no version compares with.
	return isAmount(row.budgetsAt)
		? ({ ...row, budgetsVersion: 0 } as unknown as AllowanceRow)
		: undefined
}

/** Reads the ceilings that a box promised; undefined where the bytes are none. */
export function readSpendingMark(value: Buffer): SpendingMark | undefined {
	const mark = readFields(value)
	if (!mark || typeof mark.holder !== 'string' || !isAmounts(mark.marks)) return undefined
	return typeof mark.wallTime === 'number' && isNumberOrMissing(mark.era)
		? (mark as unknown as SpendingMark)
		: undefined
}

function readFields(value: Buffer): Fields | undefined {
	try {
		const document: unknown = JSON.parse(value.toString('utf8'))
		return isFields(document) ? document : undefined
	} catch {
		return undefined
	}
}

function isBoxDraws(draws: unknown): boolean {
	if (!isFields(draws) || typeof draws.holder !== 'string' || typeof draws.address !== 'string')
		return false
	// A rate that is none counts as 0 where it is read: it must not stop all draws.
	const areRates = draws.rates === undefined || isFields(draws.rates)
	const areNumbers = isNumberOrMissing(draws.era) && isNumberOrMissing(draws.windowPart)
	const areRaised = draws.raised === undefined || isAmounts(draws.raised)
	return isNumbers(draws.drawn) && isNumbers(draws.spent) && areRates && areNumbers && areRaised
}

/** What a box has drawn and spent is below zero where it gave back more than it drew: others lent it tokens. */
function isNumbers(value: unknown): boolean {
	return isFields(value) && Object.values(value).every((one) => Number.isFinite(one))
}

function isNumberOrMissing(value: unknown): boolean {
	return value === undefined || Number.isFinite(value)
}

function isAmounts(value: unknown): boolean {
	return isFields(value) && Object.values(value).every(isAmount)
}

function isAmount(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
}
