import type { BoxName, BudgetName } from '../ids.js'
import type { Member } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { Amount, Millis } from '../units.js'

interface TransferRound {
	pendingBox: BoxName | undefined
	askedAt: Millis
	remaining: Member[]
}

/** A neighbour that has not answered by then is passed over. */
const ANSWER_TIMEOUT_MS: Millis = 300

/** Asks the neighbours for money one after the other, beginning with a random one. */
export class TransferRequester {
	private readonly rounds = new Map<BudgetName, TransferRound>()

	constructor(private readonly context: CoreContext) {}

	/** Asks the next neighbour if its turn has come. False once all have been asked in vain. */
	askNext(budget: BudgetName, amount: Amount, neighbours: readonly Member[]): boolean {
		const round = this.rounds.get(budget) ?? this.begin(budget, neighbours)
		const waiting = round.pendingBox !== undefined
		if (waiting && this.context.now - round.askedAt < ANSWER_TIMEOUT_MS) return true
		const next = round.remaining.shift()
		round.pendingBox = next?.box
		if (!next) return false
		round.askedAt = this.context.now
		const { incarnation } = this.context.self
		this.context.send(next, { kind: 'transfer-ask', incarnation, budget, amount })
		return true
	}

	/** A neighbour has answered, with money or without. */
	onAnswer(budget: BudgetName, from: BoxName): void {
		const round = this.rounds.get(budget)
		if (round?.pendingBox === from) round.pendingBox = undefined
	}

	end(budget: BudgetName): void {
		this.rounds.delete(budget)
	}

	private begin(budget: BudgetName, neighbours: readonly Member[]): TransferRound {
		const start = Math.floor(this.context.random() * Math.max(1, neighbours.length))
		const left = [...neighbours.slice(start), ...neighbours.slice(0, start)]
		const round: TransferRound = { pendingBox: undefined, askedAt: 0, remaining: left }
		this.rounds.set(budget, round)
		return round
	}
}
