import type { BoxName, BudgetName, Incarnation } from '../ids.js'
import { RateLimiter } from '../money/RateLimiter.js'
import type { GrantRequest } from '../money/LedgerUpdates.js'
import { BudgetShardWriter, shardPollPeriodMs } from '../money/BudgetShardWriter.js'
import { findMember, type Member } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { GrantRow, PeerMessage } from '../router/PeerMessage.js'
import { SECOND_MS, type Amount, type Millis } from '../units.js'

/** A replica report that is not in the zone ledger yet. */
interface PendingReplicaReport {
	readonly box: BoxName
	readonly incarnation: Incarnation
	readonly shards: Set<number>
	readonly replyTo: BoxName | undefined
}

const MIN_RECALL_INTERVAL_MS: Millis = 300
/** Fraction of the platform's writes that all zones together may use for budgets. */
const LEDGER_WRITE_FRACTION = 0.6
/** Maximum number of writes in a burst. */
const MAX_WRITE_BURST = 6
/** Fraction of the platform's reads that all zones together may use to poll shards. */
const POLL_READ_FRACTION = 0.3

/**
 * Manages the budgets of a zone while this box is its leader: distributes the messages of the boxes to one
 * {@link BudgetShardWriter} per shard, which writes the ledger and the shard by compare-and-swap.
 */
export class ZoneLeaderController {
	private readonly shardWriters = new Map<number, BudgetShardWriter>()
	private readonly pendingReplicaReports: PendingReplicaReport[] = []
	private readonly writeLimiter = new RateLimiter(1, MAX_WRITE_BURST)
	private readonly incarnationsWithFinalCounters = new Set<Incarnation>()
	private readonly recalledAt = new Map<BudgetName, Millis>()

	constructor(private readonly context: CoreContext) {}

	/** Discards all state of the previous term. */
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
			const request = { box: from, incarnation: message.incarnation, ...row }
			this.shardWriterOf(row.budget)?.addRequest(request)
		}
	}

	onReplicaReport(from: BoxName, message: Extract<PeerMessage, { kind: 'testimony' }>): void {
		const pending = this.getOrCreatePendingReport(message.box, message.incarnation, from)
		for (const { budget, testimony } of message.rows) {
			const shardWriter = this.shardWriterOf(budget)
			if (!shardWriter) continue
			pending.shards.add(shardWriter.number)
			shardWriter.addReplicaReport({ ...message, budget, report: testimony })
		}
	}

	/** A new incarnation resends the final counters of its predecessor until they are in the ledger and acknowledged. */
	onFinalCounters(from: BoxName, message: Extract<PeerMessage, { kind: 'confess' }>): void {
		const { box, incarnation } = message
		const isNew = !this.incarnationsWithFinalCounters.has(incarnation)
		this.incarnationsWithFinalCounters.add(incarnation)
		if (isNew) {
			for (const { budget, counters } of message.rows)
				this.shardWriterOf(budget)?.addFinalCounters({ box, incarnation, budget, counters })
			return
		}
		const isPending = [...this.shardWriters.values()].some((writer) =>
			writer.hasPendingFinalCounters(box, incarnation),
		)
		const to = this.memberOf(from)
		if (!isPending && to) this.context.send(to, { kind: 'confess-ack', incarnation })
	}

	private shardWriterOf(budget: BudgetName): BudgetShardWriter | undefined {
		const index = this.context.blackboard.config.index
		if (!this.context.blackboard.roles.isLeader || !index?.budget(budget)) return undefined
		return this.getOrCreateShardWriter(index.shardOf(budget))
	}

	private getOrCreateShardWriter(number: number): BudgetShardWriter {
		let writer = this.shardWriters.get(number)
		if (!writer) {
			writer = new BudgetShardWriter(this.context, number, {
				onGrant: (request, row) => this.sendGrant(request, row),
				onRecall: (budget, amount) => this.sendRecall(budget, amount),
				tryAcquireWrite: (urgent) => this.writeLimiter.tryAcquire(this.context.now, urgent),
				pollPeriodMs: () => this.pollPeriodMs(),
			})
			this.shardWriters.set(number, writer)
		}
		return writer
	}

	private sendGrant(request: GrantRequest, row: GrantRow): void {
		const member = this.memberOf(request.box)
		if (!member || member.incarnation !== request.incarnation) return
		const { incarnation } = request
		this.context.send(member, { kind: 'grant', incarnation, rows: [row] })
	}

	private pollPeriodMs(): Millis {
		const index = this.context.blackboard.config.index
		if (!index) return SECOND_MS
		const { platformReads, shardCount } = index.bundle.policy
		return shardPollPeriodMs(index.zones.length, shardCount, platformReads * POLL_READ_FRACTION)
	}

	private sendRecall(budget: BudgetName, amount: Amount): void {
		const recalledAt = this.recalledAt.get(budget) ?? -Infinity
		if (this.context.now - recalledAt < MIN_RECALL_INTERVAL_MS) return
		this.recalledAt.set(budget, this.context.now)
		for (const member of this.context.blackboard.members.view.members)
			this.context.send(member, { kind: 'recall', rows: [{ budget, amount }] })
	}

	private getOrCreatePendingReport(
		box: BoxName,
		incarnation: Incarnation,
		replyTo: BoxName,
	): PendingReplicaReport {
		const existing = this.pendingReplicaReports.find((entry) => {
			return entry.box === box && entry.incarnation === incarnation
		})
		if (existing) return existing
		const report = { box, incarnation, shards: new Set<number>(), replyTo }
		this.pendingReplicaReports.push(report)
		return report
	}

	private acknowledgeReplicaReports(): void {
		for (let i = this.pendingReplicaReports.length - 1; i >= 0; i--) {
			const report = this.pendingReplicaReports[i]
			if (!report) continue
			const isPending = [...report.shards].some((shard) =>
				this.shardWriters.get(shard)?.hasPendingReplicaReports(),
			)
			if (isPending) continue
			this.pendingReplicaReports.splice(i, 1)
			const { box, incarnation, replyTo } = report
			const to = replyTo && this.memberOf(replyTo)
			if (to) this.context.send(to, { kind: 'testimony-ack', box, incarnation })
		}
	}

	private memberOf(box: BoxName): Member | undefined {
		return findMember(this.context.blackboard.members.view.members, box)
	}
}
