import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { RateLimiter } from '../money/RateLimiter.js'
import type { GrantRequest } from '../money/LedgerUpdates.js'
import { BudgetShardWriter, shardPollPeriodMs } from '../money/BudgetShardWriter.js'
import { findMember, type Member } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { GrantRow, PeerMessage } from '../router/PeerMessage.js'
import { SECOND_MS, type Amount, type Millis } from '../units.js'

/** Ends of an incarnation that wait for the ledger. */
interface Closing {
	readonly box: BoxName
	readonly incarnation: Incarnation
	readonly shards: Set<number>
	readonly replyTo: BoxName | undefined
}

const RECALL_PERIOD_MS: Millis = 300
/** Share of the platform's writes that all zones together may use for money. */
const LEDGER_SHARE = 0.6
/** Writes that a zone may make at once after a quiet time. */
const WRITE_BURST = 6
/** Share of the platform's reads that all zones together may use for polling shards. */
const POLL_SHARE = 0.3

/**
 * The keeper's money work: gathers the asks of the boxes of its zone and hands them to one
 * {@link BudgetShardWriter} per shard, which writes ledger and shard by compare-and-swap.
 */
export class KeeperController {
	private readonly shards = new Map<number, BudgetShardWriter>()
	private readonly closings: Closing[] = []
	private readonly writes = new RateLimiter(1, WRITE_BURST)
	private readonly confessed = new Set<Incarnation>()
	private readonly recalledAt = new Map<BudgetName, Millis>()

	constructor(private readonly context: CoreContext) {}

	/** Begins or ends the role: nothing is kept from an earlier term. */
	onKeeper(): void {
		this.shards.clear()
		this.closings.length = 0
		this.confessed.clear()
	}

	tick(): void {
		if (!this.context.board.roles.keeper) return
		const index = this.context.board.config.index
		if (!index) return
		const { platformWrites, shardCount } = index.bundle.policy
		this.writes.setRate((platformWrites * LEDGER_SHARE) / index.zones.length)
		for (let shard = 0; shard < shardCount; shard++) this.shard(shard).tick()
		this.finishClosings()
	}

	onAsk(from: BoxName, message: Extract<PeerMessage, { kind: 'ask' }>): void {
		for (const row of message.rows) {
			const ask = { box: from, incarnation: message.incarnation, ...row }
			this.shardOf(row.budget)?.addRequest(ask)
		}
	}

	onTestimony(from: BoxName, message: Extract<PeerMessage, { kind: 'testimony' }>): void {
		const closing = this.closing(message.box, message.incarnation, from)
		for (const { budget, testimony } of message.rows) {
			const shard = this.shardOf(budget)
			if (!shard) continue
			closing.shards.add(shard.number)
			shard.addReplicaReport({ ...message, budget, report: testimony })
		}
	}

	/** The new incarnation repeats the last word of the old one until the ledger has it. */
	onConfess(from: BoxName, message: Extract<PeerMessage, { kind: 'confess' }>): void {
		const { box, incarnation } = message
		const isNew = !this.confessed.has(incarnation)
		this.confessed.add(incarnation)
		if (isNew) {
			for (const { budget, counters } of message.rows)
				this.shardOf(budget)?.addFinalCounters({ box, incarnation, budget, counters })
			return
		}
		const open = [...this.shards.values()].some((s) => s.hasPendingFinalCounters(box, incarnation))
		const to = this.memberOf(from)
		if (!open && to) this.context.send(to, { kind: 'confess-ack', incarnation })
	}

	private shardOf(budget: BudgetName): BudgetShardWriter | undefined {
		const index = this.context.board.config.index
		if (!this.context.board.roles.keeper || !index?.budget(budget)) return undefined
		return this.shard(index.shardOf(budget))
	}

	private shard(number: number): BudgetShardWriter {
		let found = this.shards.get(number)
		if (!found) {
			found = new BudgetShardWriter(this.context, number, {
				onGrant: (asks, rows) => this.sendGrants(asks, rows),
				onRecall: (budget, amount) => this.recall(budget, amount),
				tryAcquireWrite: (urgent) => this.writes.tryAcquire(this.context.now, urgent),
				pollPeriodMs: () => this.pollPeriod(),
			})
			this.shards.set(number, found)
		}
		return found
	}

	private sendGrants(ask: GrantRequest, row: GrantRow): void {
		const member = this.memberOf(ask.box)
		if (!member || member.incarnation !== ask.incarnation) return
		const { incarnation } = ask
		this.context.send(member, { kind: 'grant', incarnation, rows: [row] })
	}

	private pollPeriod(): Millis {
		const index = this.context.board.config.index
		if (!index) return SECOND_MS
		const { platformReads, shardCount } = index.bundle.policy
		return shardPollPeriodMs(index.zones.length, shardCount, platformReads * POLL_SHARE)
	}

	private recall(budget: BudgetName, amount: Amount): void {
		const last = this.recalledAt.get(budget) ?? -Infinity
		if (this.context.now - last < RECALL_PERIOD_MS) return
		this.recalledAt.set(budget, this.context.now)
		for (const member of this.context.board.members.view.members)
			this.context.send(member, { kind: 'recall', rows: [{ budget, amount }] })
	}

	private closing(box: BoxName, incarnation: Incarnation, replyTo: BoxName): Closing {
		const found = this.closings.find((entry) => {
			return entry.box === box && entry.incarnation === incarnation
		})
		if (found) return found
		const made = { box, incarnation, shards: new Set<number>(), replyTo }
		this.closings.push(made)
		return made
	}

	private finishClosings(): void {
		for (let i = this.closings.length - 1; i >= 0; i--) {
			const closing = this.closings[i]
			if (!closing) continue
			const open = [...closing.shards].some((shard) =>
				this.shards.get(shard)?.hasPendingReplicaReports(),
			)
			if (open) continue
			this.closings.splice(i, 1)
			const { box, incarnation, replyTo } = closing
			const to = replyTo && this.memberOf(replyTo)
			if (to) this.context.send(to, { kind: 'testimony-ack', box, incarnation })
		}
	}

	private memberOf(box: BoxName): Member | undefined {
		return findMember(this.context.board.members.view.members, box)
	}
}
