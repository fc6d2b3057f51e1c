import { HandoffSender } from '../identity/HandoffSender.js'
import {
	laterRecord,
	keyOf,
	type IdempotencyRecord,
	type RecordLoss,
} from '../identity/IdempotencyRecord.js'
import { parseKey } from '../identity/IdempotencyKey.js'
import {
	ReplicationLog,
	type ReplicationSource,
	type LogPosition,
} from '../identity/ReplicationLog.js'
import { rendezvousFirst } from '../identity/rendezvous.js'
import { BoxReplica } from '../identity/BoxReplica.js'
import type { BoxName, RequestId } from '../ids.js'
import {
	findMember,
	hasIncarnation,
	lastMembersBefore,
	membersAt,
	ownerOf,
	eligibleOwners,
	replicaBoxOf,
	type Member,
	type ZoneView,
} from '../membership/ZoneView.js'
import { entryKey } from '../money/ZoneLedger.js'
import type { IdempotencySection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { PeerMessage } from '../router/PeerMessage.js'
import type { Millis } from '../units.js'

/** What the identity controller tells the rest of the core. */
export interface IdempotencyHooks {
	/** An incarnation is gone and this box was its witness. */
	onSealed(copy: BoxReplica): void
}

interface PendingHandoffAck {
	readonly to: BoxName
	readonly view: number
	readonly source: BoxName
	readonly logPosition: LogPosition
}

interface PendingHandOver {
	readonly view: number
	readonly source: BoxName
	readonly members: readonly Member[]
}

const EXPIRY_PERIOD_MS: Millis = 10_000
const DEFAULT_RETENTION_MS: Millis = 900_000

/**
 * Who ran what. Keeps the records of the keys of this box, the log to its witness, the copies that
 * it keeps as a witness of others, and the handing over of records when the view changes.
 */
export class IdempotencyController {
	readonly replicationLog: ReplicationLog
	private readonly replicas = new Map<string, BoxReplica>()
	private readonly losses = new Map<string, RecordLoss>()
	/** Sources whose records have not arrived, with the box that must send them. */
	private readonly awaitedSources = new Map<string, Member>()
	private readonly handoffSender: HandoffSender
	/** Handoffs taken, to be acknowledged once the own witness has their records. */
	private readonly pendingAcks: PendingHandoffAck[] = []
	/** Handoffs of this box that wait for records of earlier views. */
	private readonly pendingHandOvers: PendingHandOver[] = []
	private appliedView = 0
	private lastExpiryAt: Millis = 0

	constructor(
		private readonly context: CoreContext,
		private readonly section: IdempotencySection,
		private readonly hooks: IdempotencyHooks,
		money: Pick<ReplicationSource, 'budgets' | 'sliceRow' | 'onAcknowledged' | 'onNewerView'>,
	) {
		this.replicationLog = new ReplicationLog(context, {
			...money,
			records: () => this.section.records.values(),
			losses: () => this.losses.values(),
		})
		this.handoffSender = new HandoffSender(context)
	}

	/** The record of a request id, if any. */
	find(id: RequestId): IdempotencyRecord | undefined {
		return this.section.records.get(id)
	}

	/** Writes a record and enqueues it for the witness. */
	write(record: IdempotencyRecord): LogPosition {
		const known = this.section.records.get(record.id)
		const kept = known ? laterRecord(known, record) : record
		this.section.records.set(record.id, kept)
		return this.replicationLog.addRecord(kept)
	}

	/** True where a run of this id may have been forgotten. */
	mayHaveLostRecord(id: RequestId): boolean {
		const index = this.context.blackboard.config.index
		const key = keyOf(id)
		const parts = parseKey(key, index?.zones ?? [])
		const skew = index?.bundle.policy.clockSkewMs ?? 0
		for (const loss of this.losses.values()) {
			if (rendezvousFirst(key, loss.members) !== loss.box) continue
			if (!parts || parts.mintedAt <= loss.at + skew) return true
		}
		return false
	}

	/** True once every handed-over record was acknowledged. */
	areHandoffsAcknowledged(): boolean {
		return this.handoffSender.isEmpty()
	}

	tick(): void {
		this.handoffSender.resend()
		this.replicationLog.flush()
		this.expire()
	}

	/** Follows the numbered views one by one. */
	onViewChange(before: ZoneView, after: ZoneView): void {
		const { box, incarnation } = this.context.self
		this.replicationLog.setView(after.number, after.members)
		for (let number = Math.max(1, this.appliedView + 1); number <= after.number; number++) {
			const old = lastMembersBefore(after, number)
			const members = membersAt(after, number)
			if (!members) continue
			this.appliedView = number
			if (!hasIncarnation(members, box, incarnation)) continue
			this.dropUnreachableSources(number, members)
			this.processViewChange(number, old ?? before.members, members)
		}
		this.updateCompleteness()
	}

	/** Takes the log of a box that this one is witness of. */
	onReplicationBatch(from: BoxName, message: Extract<PeerMessage, { kind: 'log' }>): void {
		const { batch } = message
		const view = this.context.blackboard.members.view
		const sender = findMember(view.members, from)
		const isMember = hasIncarnation(view.members, batch.box, batch.incarnation)
		if (!isMember && batch.view < view.number) {
			const address = sender?.address ?? ''
			const fenced: PeerMessage = { kind: 'fenced', incarnation: batch.incarnation, view }
			this.context.emit({ kind: 'send', to: from, address, message: fenced })
			return
		}
		if (!isMember || batch.view !== view.number || !sender) return
		const witness = replicaBoxOf(view.members, batch.box)
		if (!witness || !this.isSelf(witness)) return
		const copy = this.getOrCreateReplica(batch.box, batch.incarnation)
		const seq = copy.apply(batch)
		const { incarnation } = batch
		this.context.send(sender, { kind: 'log-ack', incarnation, view: batch.view, seq })
	}

	onAck(message: Extract<PeerMessage, { kind: 'log-ack' }>): void {
		if (message.incarnation !== this.context.self.incarnation) return
		this.replicationLog.onAck(message.view, message.seq)
		this.sendHandoffAcks()
	}

	onHandoff(from: BoxName, message: Extract<PeerMessage, { kind: 'handoff' }>): void {
		if (message.view > this.appliedView) return
		for (const loss of message.losses) this.addLoss(loss)
		for (const record of message.records) this.mergeRecord(record)
		const { view, source } = message
		const key = sourceKey(view, source)
		if (this.awaitedSources.get(key)?.box === from) this.awaitedSources.delete(key)
		this.pendingAcks.push({
			to: from,
			view,
			source,
			logPosition: this.replicationLog.lastPosition(),
		})
		this.updateCompleteness()
		this.sendHandoffAcks()
	}

	onHandoffAck(from: BoxName, message: Extract<PeerMessage, { kind: 'handoff-ack' }>): void {
		this.handoffSender.onAck(from, message.view, message.source)
	}

	/** The copy that this box holds of an incarnation, if it holds one. */
	replica(box: BoxName, incarnation: string): BoxReplica | undefined {
		return this.replicas.get(`${box}#${incarnation}`)
	}

	/** Drops the copy of an incarnation whose testimony is in the ledger. */
	dropReplica(box: BoxName, incarnation: string): void {
		this.replicas.delete(`${box}#${incarnation}`)
	}

	/** Acknowledges handed-over records once the own witness has them too. */
	private sendHandoffAcks(): void {
		const { members } = this.context.blackboard.members.view
		while (this.pendingAcks[0] && this.replicationLog.isDurable(this.pendingAcks[0].logPosition)) {
			const owed = this.pendingAcks.shift()
			const to = owed && findMember(members, owed.to)
			if (!to) continue
			this.context.send(to, { kind: 'handoff-ack', view: owed.view, source: owed.source })
		}
	}

	private processViewChange(
		number: number,
		old: readonly Member[],
		members: readonly Member[],
	): void {
		const self = this.context.self.box
		for (const source of old) {
			const survives = hasIncarnation(members, source.box, source.incarnation)
			if (source.box === self && survives) continue
			const witness = replicaBoxOf(old, source.box)
			const sender = survives ? source : witness
			const reachable = sender && hasIncarnation(members, sender.box, sender.incarnation)
			if (!survives && sender && this.isSelf(sender)) this.sealReplica(number, source, old, members)
			else if (reachable) this.awaitedSources.set(sourceKey(number, source.box), sender)
			else this.reportLoss(number - 1, source, old)
		}
		if (hasIncarnation(old, self, this.context.self.incarnation))
			this.queueHandOver(number, self, members)
	}

	private isSelf(member: Member): boolean {
		const { box, incarnation } = this.context.self
		return member.box === box && member.incarnation === incarnation
	}

	/** As the witness of an incarnation that is gone: takes its records and hands them over. */
	private sealReplica(
		number: number,
		source: Member,
		old: readonly Member[],
		members: readonly Member[],
	): void {
		const copy = this.replicas.get(entryKey(source.box, source.incarnation))
		if (!copy || copy.viewNumber !== number - 1) {
			this.reportLoss(number - 1, source, old)
			this.queueHandOver(number, source.box, members)
			return
		}
		for (const loss of copy.losses.values()) this.addLoss(loss)
		for (const record of copy.records.values()) this.mergeRecord(record)
		this.context.log('box-sealed', {
			gone: source.box,
			incarnation: source.incarnation,
			records: copy.records.size,
		})
		this.hooks.onSealed(copy)
		this.queueHandOver(number, source.box, members)
	}

	private queueHandOver(view: number, source: BoxName, members: readonly Member[]): void {
		this.pendingHandOvers.push({ view, source, members })
	}

	/**
	 * Sends what is due. A box that still waits for records of an earlier view must not pass for
	 * complete, so it hands nothing over until those have arrived or are known to be lost.
	 */
	private sendPendingHandOvers(): void {
		while (this.pendingHandOvers[0] && !this.awaitsEarlierRecords(this.pendingHandOvers[0].view)) {
			const due = this.pendingHandOvers.shift()
			if (due) this.sendHandOver(due)
		}
	}

	private awaitsEarlierRecords(view: number): boolean {
		for (const key of this.awaitedSources.keys()) if (parseSourceKey(key).view < view) return true
		return false
	}

	private sendHandOver({ view, source, members }: PendingHandOver): void {
		const losses = [...this.losses.values()]
		const records = [...this.section.records.values()]
		for (const member of members) {
			if (member.box === this.context.self.box) continue
			const theirs = records.filter((record) => {
				return ownerOf(members, keyOf(record.id))?.box === member.box
			})
			this.handoffSender.add({ to: member, view, source, records: theirs, losses })
		}
	}

	private reportLoss(view: number, source: Member, old: readonly Member[]): void {
		const members = eligibleOwners(old)
		this.addLoss({ view, box: source.box, members, at: this.context.now })
	}

	private addLoss(loss: RecordLoss): void {
		const key = sourceKey(loss.view, loss.box)
		const known = this.losses.get(key)
		if (known && known.at >= loss.at) return
		this.losses.set(key, loss)
		this.replicationLog.addLoss(loss)
		if (!known) this.context.log('records-lost', { lost: loss.box, view: loss.view })
	}

	/** A sender that is gone before its handoff arrived takes the records with it. */
	private dropUnreachableSources(number: number, members: readonly Member[]): void {
		for (const [key, sender] of this.awaitedSources) {
			if (hasIncarnation(members, sender.box, sender.incarnation)) continue
			this.awaitedSources.delete(key)
			const { view, box } = parseSourceKey(key)
			const old = membersAt(this.context.blackboard.members.view, view - 1)
			const source = old?.find((member) => member.box === box)
			if (old && source) this.reportLoss(view - 1, source, old)
		}
		this.handoffSender.dropNonMembers(members, number)
	}

	private mergeRecord(record: IdempotencyRecord): void {
		const known = this.section.records.get(record.id)
		const kept = known ? laterRecord(known, record) : record
		if (kept === known) return
		this.section.records.set(record.id, kept)
		this.replicationLog.addRecord(kept)
	}

	private getOrCreateReplica(box: BoxName, incarnation: BoxReplica['incarnation']): BoxReplica {
		const key = entryKey(box, incarnation)
		let copy = this.replicas.get(key)
		if (!copy) {
			copy = new BoxReplica(box, incarnation)
			this.replicas.set(key, copy)
		}
		return copy
	}

	private updateCompleteness(): void {
		this.sendPendingHandOvers()
		const settled = this.appliedView > 0 && this.awaitedSources.size === 0
		if (settled && !this.section.hasAllRecords)
			this.context.log('handoff-done', { view: this.appliedView })
		this.section.hasAllRecords = settled
	}

	private expire(): void {
		if (this.context.now - this.lastExpiryAt < EXPIRY_PERIOD_MS) return
		this.lastExpiryAt = this.context.now
		const policy = this.context.blackboard.config.index?.bundle.policy
		const before = this.context.now - (policy?.retentionMs ?? DEFAULT_RETENTION_MS)
		const { records } = this.section
		for (const [id, record] of records) if (record.at < before) records.delete(id)
		for (const copy of this.replicas.values()) copy.expire(before)
		for (const [key, loss] of this.losses) if (loss.at < before) this.losses.delete(key)
	}
}

function sourceKey(view: number, box: BoxName): string {
	return `${view}/${box}`
}

function parseSourceKey(key: string): { view: number; box: BoxName } {
	const at = key.indexOf('/')
	return { view: Number(key.slice(0, at)), box: key.slice(at + 1) as BoxName }
}
