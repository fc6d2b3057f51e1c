import {
	brandId,
	type AccountName,
	type BudgetName,
	type CallId,
	type Refusal,
	type RequestId,
	type RunState,
} from '@stallwing/core'
import { INPUT_TOKENS, MAX_OUTPUT_TOKENS, outputTokensOf } from './FakeTarget.js'
import type { SimBox } from './SimBox.js'
import type { Simulation } from './Simulation.js'

interface SimRequest {
	readonly key: string
	readonly account: AccountName
	readonly budget: BudgetName
	readonly isModel: boolean
	readonly repeatable: boolean
	callCount: number
	openCallCount: number
	/** True while every call so far was refused without running. */
	allCallsRefusedNotRun: boolean
	answered: boolean
	id: RequestId | undefined
}

interface OpenCall {
	readonly request: SimRequest
	readonly box: SimBox
	id: RequestId | undefined
}

const FIRST_BYTE_TIMEOUT_MS = 6_000
/** Charge of a plain-service call in the simulated bundle. */
export const SERVICE_CHARGE = 7
const MAX_CALLS_PER_REQUEST = 6

/**
 * Simulated callers. They send requests, disconnect, and retry with the same idempotency key at any
 * box.
 */
export class Callers {
	readonly stats = { sent: 0, answered: 0, refused: 0, unknown: 0 }
	/** Requests whose complete answer reached a caller. */
	readonly answeredIds = new Set<RequestId>()
	/** Requests that may run at most once. */
	readonly nonRepeatableIds = new Set<RequestId>()
	readonly serviceRequestIds = new Set<RequestId>()
	readonly budgetByRequest = new Map<RequestId, BudgetName>()
	private readonly openCalls = new Map<CallId, OpenCall>()
	private nextCallNumber = 1
	private nextKeyNumber = 1

	constructor(private readonly simulation: Simulation) {}

	/** Charge of a completed request, the same at every target. */
	chargeOf(id: RequestId): number {
		return this.serviceRequestIds.has(id) ? SERVICE_CHARGE : INPUT_TOKENS + 2 * outputTokensOf(id)
	}

	/**
	 * Sums the charges of the requests that an oracle with full knowledge would have run, and of those
	 * that were answered.
	 */
	compareWithOracle(prepaid: number): { oracleValue: number; answeredValue: number } {
		const demand = new Map<BudgetName, number>()
		let answeredValue = 0
		for (const [id, budget] of this.budgetByRequest) {
			demand.set(budget, (demand.get(budget) ?? 0) + this.chargeOf(id))
			if (this.answeredIds.has(id)) answeredValue += this.chargeOf(id)
		}
		let oracleValue = 0
		for (const charge of demand.values()) oracleValue += Math.min(prepaid, charge)
		return { oracleValue, answeredValue }
	}

	/** Sends a new request to a random box. */
	sendNewRequest(): void {
		const { random, queue } = this.simulation
		// Squaring gives a few accounts most of the requests.
		const accountIndex = Math.floor(random.next() ** 2 * this.simulation.accounts.length)
		const account = this.simulation.accounts[accountIndex] as string
		const isModel = random.chance(0.7)
		const zone = random.pick(this.simulation.zones)
		const timestamp = Math.floor(queue.now).toString(36).padStart(6, '0')
		const zonedKey = `${zone}.${timestamp}.k${String(this.nextKeyNumber).padStart(6, '0')}`
		const key = random.chance(0.6) ? zonedKey : `plain-${this.nextKeyNumber}`
		this.nextKeyNumber++
		const id = brandId<RequestId>(`${account}/${key}`)
		const repeatable = random.chance(0.5)
		if (!repeatable) this.nonRepeatableIds.add(id)
		this.budgetByRequest.set(id, brandId<BudgetName>(`budget-${account}`))
		if (!isModel) this.serviceRequestIds.add(id)
		this.send({
			key,
			account: brandId<AccountName>(account),
			budget: brandId<BudgetName>(`budget-${account}`),
			isModel,
			repeatable,
			callCount: 0,
			openCallCount: 0,
			allCallsRefusedNotRun: true,
			answered: false,
			id: undefined,
		})
		this.stats.sent++
	}

	/** Relays a call from one box to another. */
	relay(from: SimBox, callId: CallId, to: SimBox, id: RequestId, account: AccountName): void {
		const call = this.openCalls.get(callId)
		if (!call) return
		const relayedCallId = brandId<CallId>(`${callId}>${to.name}`)
		this.openCalls.set(relayedCallId, { request: call.request, box: to, id })
		call.id = id
		const hopCount = callId.split('>').length
		const incarnation = from.incarnation
		this.simulation.deliver(from, to, () => {
			to.handle({
				kind: 'request',
				request: this.requestEvent(call.request, relayedCallId, hopCount, account),
			})
		})
		// The relaying box treats a relay without a timely answer as failed.
		this.simulation.queue.schedule(FIRST_BYTE_TIMEOUT_MS, () => {
			if (!this.openCalls.has(relayedCallId)) return
			this.openCalls.delete(relayedCallId)
			from.handle({ kind: 'relay-failed', callId, notRun: false }, incarnation)
		})
	}

	/** Closes a refused call, or forwards the refusal to the box that relayed it. */
	onRefused(box: SimBox, callId: CallId, refusal: Refusal): void {
		const call = this.openCalls.get(callId)
		if (!call) return
		const parentId = parentCallId(callId)
		if (parentId === undefined) this.closeCall(callId, call, refusal.run)
		else this.simulation.deliverReply(box, () => this.forwardRefusal(callId, parentId, refusal))
	}

	/** Refuses all calls that wait for a failed run. */
	onRunFailed(box: SimBox, id: RequestId, refusal: Refusal): void {
		for (const [callId, call] of [...this.openCalls])
			if (call.id === id && call.box === box) this.onRefused(box, callId, refusal)
	}

	/** Records the run that will answer a call. */
	onAttached(callId: CallId, id: RequestId): void {
		const call = this.openCalls.get(callId)
		if (!call) return
		call.id = id
		call.request.id = id
		if (!id.endsWith(call.request.key)) this.simulation.fail('foreign-answer', { id, callId })
	}

	/** Delivers the complete answer of a run to all calls that wait for it. */
	onAnswerComplete(box: SimBox, id: RequestId): void {
		for (const [callId, call] of [...this.openCalls])
			if (call.id === id && call.box === box) this.forwardAnswer(callId, call, box)
	}

	/** Ends all calls at a stopped box. Their outcome is unknown. */
	onBoxDown(box: SimBox): void {
		for (const [callId, call] of [...this.openCalls]) {
			if (call.box !== box) continue
			const parentId = parentCallId(callId)
			if (parentId === undefined) this.closeCall(callId, call, 'unknown')
			else this.failRelay(callId, parentId)
		}
	}

	private forwardAnswer(callId: CallId, call: OpenCall, box: SimBox): void {
		const parentId = parentCallId(callId)
		if (parentId === undefined) {
			if (call.id) this.answeredIds.add(call.id)
			call.request.answered = true
			this.closeCall(callId, call, 'yes')
			return
		}
		this.simulation.deliverReply(box, () => {
			const parentCall = this.openCalls.get(parentId)
			this.openCalls.delete(callId)
			if (parentCall) this.forwardAnswer(parentId, parentCall, parentCall.box)
		})
	}

	private forwardRefusal(callId: CallId, parentId: CallId, refusal: Refusal): void {
		this.openCalls.delete(callId)
		const parentCall = this.openCalls.get(parentId)
		if (parentCall) this.onRefused(parentCall.box, parentId, refusal)
	}

	private failRelay(callId: CallId, parentId: CallId): void {
		this.openCalls.delete(callId)
		const parentCall = this.openCalls.get(parentId)
		if (parentCall) parentCall.box.handle({ kind: 'relay-failed', callId: parentId, notRun: false })
	}

	private send(request: SimRequest): void {
		const { random, queue } = this.simulation
		const upBoxes = this.simulation.boxes.filter((box) => box.isUp())
		if (upBoxes.length === 0) {
			queue.schedule(500, () => this.send(request))
			return
		}
		request.callCount++
		request.openCallCount++
		const box = random.pick(upBoxes)
		const callId = brandId<CallId>(`c${this.nextCallNumber++}`)
		this.openCalls.set(callId, { request, box, id: undefined })
		queue.schedule(1, () => {
			box.handle({ kind: 'request', request: this.requestEvent(request, callId, 0, undefined) })
		})
		const disconnectsEarly = this.simulation.options.injectFaults && random.chance(0.1)
		const disconnectAfterMs = disconnectsEarly ? random.integerBetween(50, 1000) : 15_000
		queue.schedule(disconnectAfterMs, () => this.disconnect(callId, box))
		// Some callers retry before the first call has ended.
		if (random.chance(0.1) && request.callCount < MAX_CALLS_PER_REQUEST)
			queue.schedule(random.integerBetween(1, 1500), () => this.send(request))
	}

	private disconnect(callId: CallId, box: SimBox): void {
		const call = this.openCalls.get(callId)
		if (!call) return
		this.closeCall(callId, call, 'unknown')
		box.handle({ kind: 'caller-gone', callId })
	}

	private requestEvent(
		request: SimRequest,
		callId: CallId,
		hops: number,
		account: AccountName | undefined,
	) {
		const { key, isModel, repeatable, budget } = request
		return {
			callId,
			...(account === undefined ? { keyHash: `key-${request.account}` } : { account }),
			idempotencyKey: key,
			bodyHash: key,
			work: isModel
				? ({
						kind: 'model',
						model: 'm',
						inputTokens: INPUT_TOKENS,
						maxOutputTokens: MAX_OUTPUT_TOKENS,
					} as const)
				: ({ kind: 'service', service: 's' } as const),
			priority: repeatable ? ('ordinary' as const) : ('urgent' as const),
			repeatable,
			budget,
			deadline: this.simulation.queue.now + FIRST_BYTE_TIMEOUT_MS,
			hops,
		}
	}

	private closeCall(callId: CallId, call: OpenCall, run: RunState): void {
		this.openCalls.delete(callId)
		const { request } = call
		request.openCallCount--
		if (run === 'no') this.checkNotRun(request)
		else request.allCallsRefusedNotRun = false
		if (run === 'yes') this.stats.answered++
		else if (run === 'no') this.stats.refused++
		else this.stats.unknown++
		if (request.answered || request.callCount >= MAX_CALLS_PER_REQUEST || request.openCallCount > 0)
			return
		this.simulation.queue.schedule(this.simulation.random.integerBetween(100, 4000), () =>
			this.send(request),
		)
	}

	/** Checks that a request whose calls were all refused as not run did not run. */
	private checkNotRun(request: SimRequest): void {
		if (!request.allCallsRefusedNotRun || request.openCallCount > 0) return
		const id = brandId<RequestId>(`${request.account}/${request.key}`)
		if (this.simulation.runCountOf(id) > 0) this.simulation.fail('not-run-but-ran', { id })
	}
}

function parentCallId(callId: CallId): CallId | undefined {
	const separatorIndex = callId.lastIndexOf('>')
	return separatorIndex < 0 ? undefined : brandId<CallId>(callId.slice(0, separatorIndex))
}
