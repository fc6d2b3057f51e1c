import type { AllowanceRow, SpendingLimits } from '@stallwing/core'

type JsonObject = Readonly<Record<string, unknown>>

/** Reads the shared record of draws; undefined where the bytes are none. */
export function readAllowanceRow(value: Buffer): AllowanceRow | undefined {
	const row = parseObject(value)
	if (!row || !isAmountRecord(row.budgets) || !isObject(row.boxes)) return undefined
	if (!Object.values(row.boxes).every(isBoxDraws) || !isOptionalNumber(row.era)) return undefined
	if (row.budgetsVersion !== undefined)
		return isAmount(row.budgetsVersion) ? (row as unknown as AllowanceRow) : undefined
	// An older version names a revision of the store instead, which no version compares with.
	return isAmount(row.budgetsAt)
		? ({ ...row, budgetsVersion: 0 } as unknown as AllowanceRow)
		: undefined
}

/** Reads the ceilings that a box promised; undefined where the bytes are none. */
export function readSpendingMark(value: Buffer): SpendingLimits | undefined {
	const mark = parseObject(value)
	if (!mark || typeof mark.holder !== 'string' || !isAmountRecord(mark.marks)) return undefined
	return typeof mark.wallTime === 'number' && isOptionalNumber(mark.era)
		? (mark as unknown as SpendingLimits)
		: undefined
}

function parseObject(value: Buffer): JsonObject | undefined {
	try {
		const document: unknown = JSON.parse(value.toString('utf8'))
		return isObject(document) ? document : undefined
	} catch {
		return undefined
	}
}

function isBoxDraws(draws: unknown): boolean {
	if (!isObject(draws) || typeof draws.holder !== 'string' || typeof draws.address !== 'string')
		return false
	// A rate that is none counts as 0 where it is read: it must not stop all draws.
	const areRates = draws.rates === undefined || isObject(draws.rates)
	const areNumbers = isOptionalNumber(draws.era) && isOptionalNumber(draws.windowPart)
	const areRaised = draws.raised === undefined || isAmountRecord(draws.raised)
	return (
		isNumberRecord(draws.drawn) &&
		isNumberRecord(draws.spent) &&
		areRates &&
		areNumbers &&
		areRaised
	)
}

/** What a box has drawn and spent is below zero where it gave back more than it drew: others lent it tokens. */
function isNumberRecord(value: unknown): boolean {
	return isObject(value) && Object.values(value).every((one) => Number.isFinite(one))
}

function isOptionalNumber(value: unknown): boolean {
	return value === undefined || Number.isFinite(value)
}

function isAmountRecord(value: unknown): boolean {
	return isObject(value) && Object.values(value).every(isAmount)
}

function isAmount(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

function isObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
}
