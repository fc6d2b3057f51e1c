import * as E from 'fp-ts/lib/Either.js'
import type { AccountRecord } from '../bundle/Bundle.js'
import type { BundleIndex } from '../bundle/BundleIndex.js'
import type { BudgetName } from '../ids.js'
import { isWellFormedKey } from '../identity/IdempotencyKey.js'
import { notRun, type Refusal } from '../Refusal.js'
import type { CallerRequest, Work } from '../router/CoreEvent.js'
import type { Amount } from '../units.js'

/** Account, budget and maximum charge of a request. */
export interface PricedRequest {
	readonly account: AccountRecord
	readonly budget: BudgetName
	readonly maxCharge: Amount
	readonly maxOutputTokens: number
}

/** Determines the account, budget and maximum charge of a request, or why it is refused. */
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
	const maxCharge = work.inputTokens * model.inputWeight + maxOutputTokens * model.outputWeight
	return E.right({ account, budget, maxCharge: Math.ceil(maxCharge), maxOutputTokens })
}

/** Charge of a run, at most `maxCharge`. */
export function chargeOf(
	index: BundleIndex | undefined,
	work: Work,
	tokens: { readonly input: number; readonly output: number },
	maxCharge: Amount,
): Amount {
	if (work.kind === 'service') return maxCharge
	const model = index?.model(work.model)
	if (!model) return maxCharge
	const charge = tokens.input * model.inputWeight + tokens.output * model.outputWeight
	return Math.min(maxCharge, Math.ceil(charge))
}
