import {
	brandId,
	type AccountName,
	type BudgetName,
	type CallId,
	type Refusal,
	type RequestId,
	type RunState,
} from '@stallwing/core'
import { INPUT_TOKENS, MAX_OUTPUT_TOKENS, outputTokens } from './FakeTarget.js'
import type { SimBox } from './SimBox.js'
import type { World } from './World.js'

interface SimRequest {
	readonly key: string
	readonly account: AccountName
	readonly budget: BudgetName
	readonly model: boolean
	readonly repeatable: boolean
	tries: number
	open: number
	/** True while every try so far was refused as not run. */
	onlyNo: boolean
	answered: boolean
	id: RequestId | undefined
}

interface OpenTry {
	readonly request: SimRequest
	readonly box: SimBox
	id: RequestId | undefined
}

const FIRST_BYTE_MS = 6_000
/** Price of a plain-service call in the worlds' bundle. */
export const SERVICE_CHARGE = 7
const MOST_TRIES = 6

/** Callers in virtual time: they send, lose patience, and come back with the same key anywhere. */
export class Callers {
	readonly stats = { sent: 0, answered: 0, refused: 0, unknown: 0 }
	/** Ids whose whole answer reached a caller. */
	readonly answered = new Set<RequestId>()
	/** Ids that may run at most once. */
	readonly neverRepeat = new Set<RequestId>()
	readonly isService = new Set<RequestId>()
	readonly budgetOf = new Map<RequestId, BudgetName>()
	private readonly open = new Map<CallId, OpenTry>()
	private nextCall = 1
	private nextKey = 1

	constructor(private readonly world: World) {}

	/** Charge of a request that ran to its end: the same wherever it ran. */
	chargeOf(id: RequestId): number {
		return this.isService.has(id) ? SERVICE_CHARGE : INPUT_TOKENS + 2 * outputTokens(id)
	}

	/** Value that an all-knowing oracle would have run of these arrivals, and that was answered. */
	value(prepaid: number): { oracle: number; ours: number } {
		const demand = new Map<BudgetName, number>()
		let ours = 0
		for (const [id, budget] of this.budgetOf) {
			demand.set(budget, (demand.get(budget) ?? 0) + this.chargeOf(id))
			if (this.answered.has(id)) ours += this.chargeOf(id)
		}
		let oracle = 0
		for (const wanted of demand.values()) oracle += Math.min(prepaid, wanted)
		return { oracle, ours }
	}

	/** Sends a new request to some box. */
	sendNew(): void {
		const { random, queue } = this.world
		// A few large accounts and many small ones.
		const rank = Math.floor(random.next() ** 2 * this.world.accounts.length)
		const account = this.world.accounts[rank] as string
		const model = random.chance(0.7)
		const zone = random.pick(this.world.zones)
		const stamp = Math.floor(queue.now).toString(36).padStart(6, '0')
		const zoned = `${zone}.${stamp}.k${String(this.nextKey).padStart(6, '0')}`
		const key = random.chance(0.6) ? zoned : `plain-${this.nextKey}`
		this.nextKey++
		const id = brandId<RequestId>(`${account}/${key}`)
		const repeatable = random.chance(0.5)
		if (!repeatable) this.neverRepeat.add(id)
		this.budgetOf.set(id, brandId<BudgetName>(`budget-${account}`))
		if (!model) this.isService.add(id)
		this.send({
			key,
			account: brandId<AccountName>(account),
			budget: brandId<BudgetName>(`budget-${account}`),
			model,
			repeatable,
			tries: 0,
			open: 0,
			onlyNo: true,
			answered: false,
			id: undefined,
		})
		this.stats.sent++
	}

	/** The relaying or first box hands a try to another one. */
	relay(from: SimBox, callId: CallId, to: SimBox, id: RequestId, account: AccountName): void {
		const open = this.open.get(callId)
		if (!open) return
		const hop = brandId<CallId>(`${callId}>${to.name}`)
		this.open.set(hop, { request: open.request, box: to, id })
		open.id = id
		const hops = callId.split('>').length
		const born = from.incarnation
		this.world.deliver(from, to, () => {
			to.take({ kind: 'request', request: this.event(open.request, hop, hops, account) })
		})
		// A relay that gets no answer is seen as broken.
		this.world.queue.after(FIRST_BYTE_MS, () => {
			if (!this.open.has(hop)) return
			this.open.delete(hop)
			from.take({ kind: 'relay-failed', callId, notRun: false }, born)
		})
	}

	/** An answer or refusal of one try. */
	onRefused(box: SimBox, callId: CallId, refusal: Refusal): void {
		const open = this.open.get(callId)
		if (!open) return
		const parent = parentOf(callId)
		if (parent === undefined) this.close(callId, open, refusal.run)
		else this.world.back(box, () => this.passUp(callId, parent, refusal))
	}

	/** A run failed: its callers are told. */
	onRunFailed(box: SimBox, id: RequestId, refusal: Refusal): void {
		for (const [callId, open] of [...this.open])
			if (open.id === id && open.box === box) this.onRefused(box, callId, refusal)
	}

	/** The core attached a try to a run. */
	onAttached(callId: CallId, id: RequestId): void {
		const open = this.open.get(callId)
		if (!open) return
		open.id = id
		open.request.id = id
		if (!id.endsWith(open.request.key)) this.world.fail('foreign-answer', { id, callId })
	}

	/** The answer of a run goes out whole. */
	onAnswer(box: SimBox, id: RequestId): void {
		for (const [callId, open] of [...this.open])
			if (open.id === id && open.box === box) this.pass(callId, open, box)
	}

	/** A box is gone: its tries are reset. */
	onBoxDown(box: SimBox): void {
		for (const [callId, open] of [...this.open]) {
			if (open.box !== box) continue
			const parent = parentOf(callId)
			if (parent === undefined) this.close(callId, open, 'unknown')
			else this.breakRelay(callId, parent)
		}
	}

	private pass(callId: CallId, open: OpenTry, box: SimBox): void {
		const parent = parentOf(callId)
		if (parent === undefined) {
			if (open.id) this.answered.add(open.id)
			open.request.answered = true
			this.close(callId, open, 'yes')
			return
		}
		this.world.back(box, () => {
			const above = this.open.get(parent)
			this.open.delete(callId)
			if (above) this.pass(parent, above, above.box)
		})
	}

	private passUp(callId: CallId, parent: CallId, refusal: Refusal): void {
		this.open.delete(callId)
		const above = this.open.get(parent)
		if (above) this.onRefused(above.box, parent, refusal)
	}

	private breakRelay(callId: CallId, parent: CallId): void {
		this.open.delete(callId)
		const above = this.open.get(parent)
		if (above) above.box.take({ kind: 'relay-failed', callId: parent, notRun: false })
	}

	private send(request: SimRequest): void {
		const { random, queue } = this.world
		const up = this.world.boxes.filter((box) => box.isUp())
		if (up.length === 0) {
			queue.after(500, () => this.send(request))
			return
		}
		request.tries++
		request.open++
		const box = random.pick(up)
		const callId = brandId<CallId>(`c${this.nextCall++}`)
		this.open.set(callId, { request, box, id: undefined })
		queue.after(1, () => {
			box.take({ kind: 'request', request: this.event(request, callId, 0, undefined) })
		})
		const impatient = this.world.options.faults && random.chance(0.1)
		const patience = impatient ? random.between(50, 1000) : 15_000
		queue.after(patience, () => this.hangUp(callId, box))
		// Some callers ask again before the first try has ended.
		if (random.chance(0.1) && request.tries < MOST_TRIES)
			queue.after(random.between(1, 1500), () => this.send(request))
	}

	private hangUp(callId: CallId, box: SimBox): void {
		const open = this.open.get(callId)
		if (!open) return
		this.close(callId, open, 'unknown')
		box.take({ kind: 'caller-gone', callId })
	}

	private event(
		request: SimRequest,
		callId: CallId,
		hops: number,
		account: AccountName | undefined,
	) {
		const { key, model, repeatable, budget } = request
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
			deadline: this.world.queue.now + FIRST_BYTE_MS,
			hops,
		}
	}

	private close(callId: CallId, open: OpenTry, run: RunState): void {
		this.open.delete(callId)
		const { request } = open
		request.open--
		if (run === 'no') this.onNo(request)
		else request.onlyNo = false
		if (run === 'yes') this.stats.answered++
		else if (run === 'no') this.stats.refused++
		else this.stats.unknown++
		if (request.answered || request.tries >= MOST_TRIES || request.open > 0) return
		this.world.queue.after(this.world.random.between(100, 4000), () => this.send(request))
	}

	/** Whoever was only ever told "not run" can rely on it. */
	private onNo(request: SimRequest): void {
		if (!request.onlyNo || request.open > 0) return
		const id = brandId<RequestId>(`${request.account}/${request.key}`)
		if (this.world.runsOf(id) > 0) this.world.fail('not-run-but-ran', { id })
	}
}

function parentOf(callId: CallId): CallId | undefined {
	const at = callId.lastIndexOf('>')
	return at < 0 ? undefined : brandId<CallId>(callId.slice(0, at))
}
