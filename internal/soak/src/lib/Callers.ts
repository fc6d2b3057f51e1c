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
	/** True while every try so far was refused as not run. */
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
/** Price of a plain-service call in the worlds' bundle. */
export const SERVICE_CHARGE = 7
const MAX_CALLS_PER_REQUEST = 6

/** Callers in virtual time: they send, lose patience, and come back with the same key anywhere. */
export class Callers {
	readonly stats = { sent: 0, answered: 0, refused: 0, unknown: 0 }
	/** Ids whose whole answer reached a caller. */
	readonly answeredIds = new Set<RequestId>()
	/** Ids that may run at most once. */
	readonly nonRepeatableIds = new Set<RequestId>()
	readonly serviceRequestIds = new Set<RequestId>()
	readonly budgetByRequest = new Map<RequestId, BudgetName>()
	private readonly openCalls = new Map<CallId, OpenCall>()
	private nextCallNumber = 1
	private nextKeyNumber = 1

	constructor(private readonly simulation: Simulation) {}

	/** Charge of a request that ran to its end: the same wherever it ran. */
	chargeOf(id: RequestId): number {
		return this.serviceRequestIds.has(id) ? SERVICE_CHARGE : INPUT_TOKENS + 2 * outputTokensOf(id)
	}

	/** Value that an all-knowing oracle would have run of these arrivals, and that was answered. */
	compareWithOracle(prepaid: number): { oracleValue: number; answeredValue: number } {
		const demand = new Map<BudgetName, number>()
		let answeredValue = 0
		for (const [id, budget] of this.budgetByRequest) {
			demand.set(budget, (demand.get(budget) ?? 0) + this.chargeOf(id))
			if (this.answeredIds.has(id)) answeredValue += this.chargeOf(id)
		}
		let oracleValue = 0
		for (const wanted of demand.values()) oracleValue += Math.min(prepaid, wanted)
		return { oracleValue, answeredValue }
	}

	/** Sends a new request to some box. */
	sendNewRequest(): void {
		const { random, queue } = this.simulation
		// A few large accounts and many small ones.
		const rank = Math.floor(random.next() ** 2 * this.simulation.accounts.length)
		const account = this.simulation.accounts[rank] as string
		const model = random.chance(0.7)
		const zone = random.pick(this.simulation.zones)
		const stamp = Math.floor(queue.now).toString(36).padStart(6, '0')
		const zoned = `${zone}.${stamp}.k${String(this.nextKeyNumber).padStart(6, '0')}`
		const key = random.chance(0.6) ? zoned : `plain-${this.nextKeyNumber}`
		this.nextKeyNumber++
		const id = brandId<RequestId>(`${account}/${key}`)
		const repeatable = random.chance(0.5)
		if (!repeatable) this.nonRepeatableIds.add(id)
		this.budgetByRequest.set(id, brandId<BudgetName>(`budget-${account}`))
		if (!model) this.serviceRequestIds.add(id)
		this.send({
			key,
			account: brandId<AccountName>(account),
			budget: brandId<BudgetName>(`budget-${account}`),
			isModel: model,
			repeatable,
			callCount: 0,
			openCallCount: 0,
			allCallsRefusedNotRun: true,
			answered: false,
			id: undefined,
		})
		this.stats.sent++
	}

	/** The relaying or first box hands a try to another one. */
	relay(from: SimBox, callId: CallId, to: SimBox, id: RequestId, account: AccountName): void {
		const open = this.openCalls.get(callId)
		if (!open) return
		const hop = brandId<CallId>(`${callId}>${to.name}`)
		this.openCalls.set(hop, { request: open.request, box: to, id })
		open.id = id
		const hops = callId.split('>').length
		const born = from.incarnation
		this.simulation.deliver(from, to, () => {
			to.handle({ kind: 'request', request: this.requestEvent(open.request, hop, hops, account) })
		})
		// A relay that gets no answer is seen as broken.
		this.simulation.queue.schedule(FIRST_BYTE_TIMEOUT_MS, () => {
			if (!this.openCalls.has(hop)) return
			this.openCalls.delete(hop)
			from.handle({ kind: 'relay-failed', callId, notRun: false }, born)
		})
	}

	/** An answer or refusal of one try. */
	onRefused(box: SimBox, callId: CallId, refusal: Refusal): void {
		const open = this.openCalls.get(callId)
		if (!open) return
		const parent = parentCallId(callId)
		if (parent === undefined) this.closeCall(callId, open, refusal.run)
		else this.simulation.deliverReply(box, () => this.forwardRefusal(callId, parent, refusal))
	}

	/** A run failed: its callers are told. */
	onRunFailed(box: SimBox, id: RequestId, refusal: Refusal): void {
		for (const [callId, open] of [...this.openCalls])
			if (open.id === id && open.box === box) this.onRefused(box, callId, refusal)
	}

	/** The core attached a try to a run. */
	onAttached(callId: CallId, id: RequestId): void {
		const open = this.openCalls.get(callId)
		if (!open) return
		open.id = id
		open.request.id = id
		if (!id.endsWith(open.request.key)) this.simulation.fail('foreign-answer', { id, callId })
	}

	/** The answer of a run goes out whole. */
	onAnswerComplete(box: SimBox, id: RequestId): void {
		for (const [callId, open] of [...this.openCalls])
			if (open.id === id && open.box === box) this.forwardAnswer(callId, open, box)
	}

	/** A box is gone: its tries are reset. */
	onBoxDown(box: SimBox): void {
		for (const [callId, open] of [...this.openCalls]) {
			if (open.box !== box) continue
			const parent = parentCallId(callId)
			if (parent === undefined) this.closeCall(callId, open, 'unknown')
			else this.failRelay(callId, parent)
		}
	}

	private forwardAnswer(callId: CallId, open: OpenCall, box: SimBox): void {
		const parent = parentCallId(callId)
		if (parent === undefined) {
			if (open.id) this.answeredIds.add(open.id)
			open.request.answered = true
			this.closeCall(callId, open, 'yes')
			return
		}
		this.simulation.deliverReply(box, () => {
			const above = this.openCalls.get(parent)
			this.openCalls.delete(callId)
			if (above) this.forwardAnswer(parent, above, above.box)
		})
	}

	private forwardRefusal(callId: CallId, parent: CallId, refusal: Refusal): void {
		this.openCalls.delete(callId)
		const above = this.openCalls.get(parent)
		if (above) this.onRefused(above.box, parent, refusal)
	}

	private failRelay(callId: CallId, parent: CallId): void {
		this.openCalls.delete(callId)
		const above = this.openCalls.get(parent)
		if (above) above.box.handle({ kind: 'relay-failed', callId: parent, notRun: false })
	}

	private send(request: SimRequest): void {
		const { random, queue } = this.simulation
		const up = this.simulation.boxes.filter((box) => box.isUp())
		if (up.length === 0) {
			queue.schedule(500, () => this.send(request))
			return
		}
		request.callCount++
		request.openCallCount++
		const box = random.pick(up)
		const callId = brandId<CallId>(`c${this.nextCallNumber++}`)
		this.openCalls.set(callId, { request, box, id: undefined })
		queue.schedule(1, () => {
			box.handle({ kind: 'request', request: this.requestEvent(request, callId, 0, undefined) })
		})
		const impatient = this.simulation.options.injectFaults && random.chance(0.1)
		const patience = impatient ? random.integerBetween(50, 1000) : 15_000
		queue.schedule(patience, () => this.disconnect(callId, box))
		// Some callers ask again before the first try has ended.
		if (random.chance(0.1) && request.callCount < MAX_CALLS_PER_REQUEST)
			queue.schedule(random.integerBetween(1, 1500), () => this.send(request))
	}

	private disconnect(callId: CallId, box: SimBox): void {
		const open = this.openCalls.get(callId)
		if (!open) return
		this.closeCall(callId, open, 'unknown')
		box.handle({ kind: 'caller-gone', callId })
	}

	private requestEvent(
		request: SimRequest,
		callId: CallId,
		hops: number,
		account: AccountName | undefined,
	) {
		const { key, isModel: model, repeatable, budget } = request
		return {
			callId,
			...(account === undefined ? { keyHash: `key-${request.account}` } : { account }),
			idempotencyKey: key,
			bodyHash: key,
			work: model
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

	private closeCall(callId: CallId, open: OpenCall, run: RunState): void {
		this.openCalls.delete(callId)
		const { request } = open
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

	/** Whoever was only ever told "not run" can rely on it. */
	private checkNotRun(request: SimRequest): void {
		if (!request.allCallsRefusedNotRun || request.openCallCount > 0) return
		const id = brandId<RequestId>(`${request.account}/${request.key}`)
		if (this.simulation.runCountOf(id) > 0) this.simulation.fail('not-run-but-ran', { id })
	}
}

function parentCallId(callId: CallId): CallId | undefined {
	const at = callId.lastIndexOf('>')
	return at < 0 ? undefined : brandId<CallId>(callId.slice(0, at))
}
