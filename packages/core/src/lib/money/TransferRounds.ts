import type { BoxName, BudgetName } from '../ids.js'
import type { Member } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { Amount, Millis } from '../units.js'

interface Round {
	waitingFor: BoxName | undefined
	askedAt: Millis
	left: Member[]
}

/** A neighbour that has not answered by then is passed over. */
const ANSWER_TIMEOUT_MS: Millis = 300

/** Asks the neighbours for money one after the other, beginning with a random one. */
export class TransferRounds {
	private readonly rounds = new Map<BudgetName, Round>()

	constructor(private readonly context: CoreContext) {}

	/** Asks the next neighbour if its turn has come. False once all have been asked in vain. */
	step(budget: BudgetName, amount: Amount, neighbours: readonly Member[]): boolean {
		const round = this.rounds.get(budget) ?? this.begin(budget, neighbours)
		const waiting = round.waitingFor !== undefined
		if (waiting && this.context.now - round.askedAt < ANSWER_TIMEOUT_MS) return true
		const next = round.left.shift()
		round.waitingFor = next?.box
		if (!next) return false
		round.askedAt = this.context.now
		const { incarnation } = this.context.self
		this.context.send(next, { kind: 'transfer-ask', incarnation, budget, amount })
		return true
	}

	/** A neighbour has answered, with money or without. */
	onAnswer(budget: BudgetName, from: BoxName): void {
		const round = this.rounds.get(budget)
		if (round?.waitingFor === from) round.waitingFor = undefined
	}

	end(budget: BudgetName): void {
		this.rounds.delete(budget)
	}

	private begin(budget: BudgetName, neighbours: readonly Member[]): Round {
		const start = Math.floor(this.context.random() * Math.max(1, neighbours.length))
		const left = [...neighbours.slice(start), ...neighbours.slice(0, start)]
		const round: Round = { waitingFor: undefined, askedAt: 0, left }
		this.rounds.set(budget, round)
		return round
	}
}
