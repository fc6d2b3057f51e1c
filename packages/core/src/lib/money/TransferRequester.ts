import type { BoxName, BudgetName } from '../ids.js'
import type { Member } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { Amount, Millis } from '../units.js'

interface TransferRound {
	pendingBox: BoxName | undefined
	askedAt: Millis
	remaining: Member[]
}

/** Time after which the next box is asked if one has not answered, in ms. */
const ANSWER_TIMEOUT_MS: Millis = 300

/** Asks the other boxes of the zone for tokens one after another, starting with a random one. */
export class TransferRequester {
	private readonly rounds = new Map<BudgetName, TransferRound>()

	constructor(private readonly context: CoreContext) {}

	/** Asks the next box unless an answer is pending. Returns false once all have been asked. */
	askNext(budget: BudgetName, amount: Amount, peers: readonly Member[]): boolean {
		const round = this.rounds.get(budget) ?? this.begin(budget, peers)
		const isAwaitingAnswer = round.pendingBox !== undefined
		if (isAwaitingAnswer && this.context.now - round.askedAt < ANSWER_TIMEOUT_MS) return true
		const next = round.remaining.shift()
		round.pendingBox = next?.box
		if (!next) return false
		round.askedAt = this.context.now
		const { incarnation } = this.context.self
		this.context.send(next, { kind: 'transfer-ask', incarnation, budget, amount })
		return true
	}

	/** Handles an answer, with tokens or without. */
	onAnswer(budget: BudgetName, from: BoxName): void {
		const round = this.rounds.get(budget)
		if (round?.pendingBox === from) round.pendingBox = undefined
	}

	end(budget: BudgetName): void {
		this.rounds.delete(budget)
	}

	private begin(budget: BudgetName, peers: readonly Member[]): TransferRound {
		const start = Math.floor(this.context.random() * Math.max(1, peers.length))
		const remaining = [...peers.slice(start), ...peers.slice(0, start)]
		const round: TransferRound = { pendingBox: undefined, askedAt: 0, remaining }
		this.rounds.set(budget, round)
		return round
	}
}
