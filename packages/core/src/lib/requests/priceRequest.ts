import * as E from 'fp-ts/lib/Either.js'
import type { AccountRecord } from '../bundle/Bundle.js'
import type { BundleIndex } from '../bundle/BundleIndex.js'
import type { BudgetName } from '../ids.js'
import { isWellFormedKey } from '../identity/IdempotencyKey.js'
import { notRun, type Refusal } from '../Refusal.js'
import type { CallerRequest, Work } from '../router/CoreEvent.js'
import type { Amount } from '../units.js'

/** A request whose account, budget and price are known. */
export interface PricedRequest {
	readonly account: AccountRecord
	readonly budget: BudgetName
	/** Worst-case charge. */
	readonly maxCharge: Amount
	readonly maxOutputTokens: number
}

/** Looks a request up in the bundle. A refusal here means that nothing has run. */
export function priceRequest(
	index: BundleIndex,
	request: CallerRequest,
): E.Either<Refusal, PricedRequest> {
	const account = findAccount(index, request)
	if (!account) return E.left(notRun('bad-key', 'the bearer key names no client account'))
	const key = request.idempotencyKey
	if (key !== undefined && !isWellFormedKey(key))
		return E.left(notRun('malformed-request', 'Idempotency-Key: 1 to 200 printable characters'))
	const budget = request.budget ?? account.defaultBudget
	if (!account.budgets.includes(budget))
		return E.left(notRun('unknown-budget', 'the client account has no such budget'))
	return priceWork(index, request.work, account, budget)
}

function findAccount(index: BundleIndex, request: CallerRequest): AccountRecord | undefined {
	if (request.account !== undefined) return index.account(request.account)
	return request.keyHash === undefined ? undefined : index.accountByKeyHash(request.keyHash)
}

function priceWork(
	index: BundleIndex,
	work: Work,
	account: AccountRecord,
	budget: BudgetName,
): E.Either<Refusal, PricedRequest> {
	if (work.kind === 'service') {
		const service = index.service(work.service)
		if (!service) return E.left(notRun('unknown-service', `no service ${work.service}`))
		return E.right({ account, budget, maxCharge: service.callCost, maxOutputTokens: 0 })
	}
	const model = index.model(work.model)
	if (!model) return E.left(notRun('unknown-model', `no model ${work.model}`))
	const maxOutputTokens = Math.min(work.maxOutputTokens ?? Infinity, model.maxOutputTokens)
	const worst = work.inputTokens * model.inputWeight + maxOutputTokens * model.outputWeight
	return E.right({ account, budget, maxCharge: Math.ceil(worst), maxOutputTokens })
}

/** The charge of what ran, never above the worst case. */
export function chargeOf(
	index: BundleIndex | undefined,
	work: Work,
	tokens: { readonly input: number; readonly output: number },
	worst: Amount,
): Amount {
	if (work.kind === 'service') return worst
	const model = index?.model(work.model)
	if (!model) return worst
	const charge = tokens.input * model.inputWeight + tokens.output * model.outputWeight
	return Math.min(worst, Math.ceil(charge))
}
