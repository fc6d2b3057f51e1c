import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { RateLimiter } from '../money/RateLimiter.js'
import type { GrantRequest } from '../money/LedgerUpdates.js'
import { BudgetShardWriter, shardPollPeriodMs } from '../money/BudgetShardWriter.js'
import { findMember, type Member } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { GrantRow, PeerMessage } from '../router/PeerMessage.js'
import { SECOND_MS, type Amount, type Millis } from '../units.js'

/** Ends of an incarnation that wait for the ledger. */
interface PendingReplicaReport {
	readonly box: BoxName
	readonly incarnation: Incarnation
	readonly shards: Set<number>
	readonly replyTo: BoxName | undefined
}

const MIN_RECALL_INTERVAL_MS: Millis = 300
/** Share of the platform's writes that all zones together may use for money. */
const LEDGER_WRITE_FRACTION = 0.6
/** Writes that a zone may make at once after a quiet time. */
const MAX_WRITE_BURST = 6
/** Share of the platform's reads that all zones together may use for polling shards. */
const POLL_READ_FRACTION = 0.3

/**
 * The keeper's money work: gathers the asks of the boxes of its zone and hands them to one
 * {@link BudgetShardWriter} per shard, which writes ledger and shard by compare-and-swap.
 */
export class ZoneLeaderController {
	private readonly shardWriters = new Map<number, BudgetShardWriter>()
	private readonly pendingReplicaReports: PendingReplicaReport[] = []
	private readonly writeLimiter = new RateLimiter(1, MAX_WRITE_BURST)
	private readonly incarnationsWithFinalCounters = new Set<Incarnation>()
	private readonly recalledAt = new Map<BudgetName, Millis>()

	constructor(private readonly context: CoreContext) {}

	/** Begins or ends the role: nothing is kept from an earlier term. */
	onLeaderChange(): void {
		this.shardWriters.clear()
		this.pendingReplicaReports.length = 0
		this.incarnationsWithFinalCounters.clear()
	}

	tick(): void {
		if (!this.context.blackboard.roles.isLeader) return
		const index = this.context.blackboard.config.index
		if (!index) return
		const { platformWrites, shardCount } = index.bundle.policy
		this.writeLimiter.setRate((platformWrites * LEDGER_WRITE_FRACTION) / index.zones.length)
		for (let shard = 0; shard < shardCount; shard++) this.getOrCreateShardWriter(shard).tick()
		this.acknowledgeReplicaReports()
	}

	onGrantRequest(from: BoxName, message: Extract<PeerMessage, { kind: 'ask' }>): void {
		for (const row of message.rows) {
			const ask = { box: from, incarnation: message.incarnation, ...row }
			this.shardWriterOf(row.budget)?.addRequest(ask)
		}
	}

	onReplicaReport(from: BoxName, message: Extract<PeerMessage, { kind: 'testimony' }>): void {
		const closing = this.getOrCreatePendingReport(message.box, message.incarnation, from)
		for (const { budget, testimony } of message.rows) {
			const shard = this.shardWriterOf(budget)
			if (!shard) continue
			closing.shards.add(shard.number)
			shard.addReplicaReport({ ...message, budget, report: testimony })
		}
	}

	/** The new incarnation repeats the last word of the old one until the ledger has it. */
	onFinalCounters(from: BoxName, message: Extract<PeerMessage, { kind: 'confess' }>): void {
		const { box, incarnation } = message
		const isNew = !this.incarnationsWithFinalCounters.has(incarnation)
		this.incarnationsWithFinalCounters.add(incarnation)
		if (isNew) {
			for (const { budget, counters } of message.rows)
				this.shardWriterOf(budget)?.addFinalCounters({ box, incarnation, budget, counters })
			return
		}
		const open = [...this.shardWriters.values()].some((s) =>
			s.hasPendingFinalCounters(box, incarnation),
		)
		const to = this.memberOf(from)
		if (!open && to) this.context.send(to, { kind: 'confess-ack', incarnation })
	}

	private shardWriterOf(budget: BudgetName): BudgetShardWriter | undefined {
		const index = this.context.blackboard.config.index
		if (!this.context.blackboard.roles.isLeader || !index?.budget(budget)) return undefined
		return this.getOrCreateShardWriter(index.shardOf(budget))
	}

	private getOrCreateShardWriter(number: number): BudgetShardWriter {
		let found = this.shardWriters.get(number)
		if (!found) {
			found = new BudgetShardWriter(this.context, number, {
				onGrant: (asks, rows) => this.sendGrant(asks, rows),
				onRecall: (budget, amount) => this.sendRecall(budget, amount),
				tryAcquireWrite: (urgent) => this.writeLimiter.tryAcquire(this.context.now, urgent),
				pollPeriodMs: () => this.pollPeriodMs(),
			})
			this.shardWriters.set(number, found)
		}
		return found
	}

	private sendGrant(ask: GrantRequest, row: GrantRow): void {
		const member = this.memberOf(ask.box)
		if (!member || member.incarnation !== ask.incarnation) return
		const { incarnation } = ask
		this.context.send(member, { kind: 'grant', incarnation, rows: [row] })
	}

	private pollPeriodMs(): Millis {
		const index = this.context.blackboard.config.index
		if (!index) return SECOND_MS
		const { platformReads, shardCount } = index.bundle.policy
		return shardPollPeriodMs(index.zones.length, shardCount, platformReads * POLL_READ_FRACTION)
	}

	private sendRecall(budget: BudgetName, amount: Amount): void {
		const last = this.recalledAt.get(budget) ?? -Infinity
		if (this.context.now - last < MIN_RECALL_INTERVAL_MS) return
		this.recalledAt.set(budget, this.context.now)
		for (const member of this.context.blackboard.members.view.members)
			this.context.send(member, { kind: 'recall', rows: [{ budget, amount }] })
	}

	private getOrCreatePendingReport(
		box: BoxName,
		incarnation: Incarnation,
		replyTo: BoxName,
	): PendingReplicaReport {
		const found = this.pendingReplicaReports.find((entry) => {
			return entry.box === box && entry.incarnation === incarnation
		})
		if (found) return found
		const made = { box, incarnation, shards: new Set<number>(), replyTo }
		this.pendingReplicaReports.push(made)
		return made
	}

	private acknowledgeReplicaReports(): void {
		for (let i = this.pendingReplicaReports.length - 1; i >= 0; i--) {
			const closing = this.pendingReplicaReports[i]
			if (!closing) continue
			const open = [...closing.shards].some((shard) =>
				this.shardWriters.get(shard)?.hasPendingReplicaReports(),
			)
			if (open) continue
			this.pendingReplicaReports.splice(i, 1)
			const { box, incarnation, replyTo } = closing
			const to = replyTo && this.memberOf(replyTo)
			if (to) this.context.send(to, { kind: 'testimony-ack', box, incarnation })
		}
	}

	private memberOf(box: BoxName): Member | undefined {
		return findMember(this.context.blackboard.members.view.members, box)
	}
}
