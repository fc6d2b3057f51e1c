import type { AllowanceRow, SpendingLimits } from '@stallwing/core'

type JsonObject = Readonly<Record<string, unknown>>

/** Parses the shared draw record; returns undefined if the bytes are not a valid one. */
export function readAllowanceRow(value: Buffer): AllowanceRow | undefined {
	const row = parseObject(value)
	if (!row || !isAmountMap(row.budgets) || !isObject(row.boxes)) return undefined
	if (!Object.values(row.boxes).every(isBoxDraws) || !isOptionalNumber(row.era)) return undefined
	if (!isOptionalNumber(row.writtenAt)) return undefined
	if (row.unreported !== undefined && !isUnreportedDraws(row.unreported)) return undefined
	if (row.ceilings !== undefined && !isDrawCeilings(row.ceilings)) return undefined
	if (row.budgetsVersion !== undefined)
		return isAmount(row.budgetsVersion) ? (row as unknown as AllowanceRow) : undefined
	// Older versions store a revision of the store, which cannot be compared with a configuration version.
	return isAmount(row.budgetsAt)
		? ({ ...row, budgetsVersion: 0 } as unknown as AllowanceRow)
		: undefined
}

/** Parses the spending limits of a box; returns undefined if the bytes are not valid spending limits. */
export function readSpendingLimits(value: Buffer): SpendingLimits | undefined {
	const spendingLimits = parseObject(value)
	if (
		!spendingLimits ||
		typeof spendingLimits.holder !== 'string' ||
		!isAmountMap(spendingLimits.marks)
	)
		return undefined
	return typeof spendingLimits.wallTime === 'number' && isOptionalNumber(spendingLimits.era)
		? (spendingLimits as unknown as SpendingLimits)
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
	// Invalid rates count as 0 where they are used, so that they do not block draws.
	const ratesOk = draws.rates === undefined || isObject(draws.rates)
	const numbersOk = isOptionalNumber(draws.era) && isOptionalNumber(draws.windowPart)
	const raisedOk = draws.raised === undefined || isAmountMap(draws.raised)
	return isNumberMap(draws.drawn) && isNumberMap(draws.spent) && ratesOk && numbersOk && raisedOk
}

function isUnreportedDraws(unreported: unknown): boolean {
	if (!isObject(unreported) || !Number.isFinite(unreported.era)) return false
	const { ceilingsBefore } = unreported
	if (ceilingsBefore !== undefined && !isDrawCeilings(ceilingsBefore)) return false
	return [unreported.drawnBefore, unreported.reportable, unreported.withheld].every(isNumberMap)
}

function isDrawCeilings(ceilings: unknown): boolean {
	if (!isObject(ceilings) || !isNumberMap(ceilings.inForce)) return false
	const { pending } = ceilings
	return (
		Array.isArray(pending) &&
		pending.every(
			(one: unknown) => isObject(one) && typeof one.id === 'string' && isNumberMap(one.limits),
		)
	)
}

/**
 * True for an object whose values are all finite numbers. Draws can be negative when a box returns tokens that
 * it had borrowed.
 */
function isNumberMap(value: unknown): boolean {
	return isObject(value) && Object.values(value).every((item) => Number.isFinite(item))
}

function isOptionalNumber(value: unknown): boolean {
	return value === undefined || Number.isFinite(value)
}

function isAmountMap(value: unknown): boolean {
	return isObject(value) && Object.values(value).every(isAmount)
}

function isAmount(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

function isObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
}
