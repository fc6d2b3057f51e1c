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

/** Callbacks of an {@link IdempotencyController}. */
export interface IdempotencyHooks {
	/** Called when an incarnation has left the view and this box holds its replica. */
	onSealed(replica: BoxReplica): void
}

interface PendingHandoffAck {
	readonly to: BoxName
	readonly view: number
	readonly source: BoxName
	readonly logPosition: LogPosition
}

interface PendingHandoff {
	readonly view: number
	readonly source: BoxName
	readonly members: readonly Member[]
}

const EXPIRY_PERIOD_MS: Millis = 10_000
const DEFAULT_RETENTION_MS: Millis = 900_000

/**
 * Manages the idempotency records of the keys that this box owns, their replication to another box, the replicas that
 * this box holds of others, and the handoff of records to their new owners when the view changes.
 */
export class IdempotencyController {
	readonly replicationLog: ReplicationLog
	private readonly replicas = new Map<string, BoxReplica>()
	private readonly losses = new Map<string, RecordLoss>()
	/** Boxes whose records have not arrived yet, with the member that must send them. */
	private readonly awaitedSources = new Map<string, Member>()
	private readonly handoffSender: HandoffSender
	/** Received handoffs, which are acknowledged once the replica of this box holds their records. */
	private readonly pendingAcks: PendingHandoffAck[] = []
	/** Handoffs that this box sends once it holds all records of earlier views. */
	private readonly pendingHandoffs: PendingHandoff[] = []
	private appliedView = 0
	private lastExpiryAt: Millis = 0

	constructor(
		private readonly context: CoreContext,
		private readonly section: IdempotencySection,
		private readonly hooks: IdempotencyHooks,
		slices: Pick<ReplicationSource, 'budgets' | 'sliceRow' | 'onAcknowledged' | 'onNewerView'>,
	) {
		this.replicationLog = new ReplicationLog(context, {
			...slices,
			records: () => this.section.records.values(),
			losses: () => this.losses.values(),
		})
		this.handoffSender = new HandoffSender(context)
	}

	find(id: RequestId): IdempotencyRecord | undefined {
		return this.section.records.get(id)
	}

	/** Stores a record and enqueues it for replication. */
	write(record: IdempotencyRecord): LogPosition {
		const existing = this.section.records.get(record.id)
		const latest = existing ? laterRecord(existing, record) : record
		this.section.records.set(record.id, latest)
		return this.replicationLog.addRecord(latest)
	}

	/** True if the record of a request that ran may have been lost. */
	mayHaveLostRecord(id: RequestId): boolean {
		const index = this.context.blackboard.config.index
		const key = keyOf(id)
		const keyParts = parseKey(key, index?.zones ?? [])
		const clockSkewMs = index?.bundle.policy.clockSkewMs ?? 0
		for (const loss of this.losses.values()) {
			if (rendezvousFirst(key, loss.members) !== loss.box) continue
			if (!keyParts || keyParts.mintedAt <= loss.at + clockSkewMs) return true
		}
		return false
	}

	areHandoffsAcknowledged(): boolean {
		return this.handoffSender.isEmpty()
	}

	tick(): void {
		this.handoffSender.resend()
		this.replicationLog.flush()
		this.expire()
	}

	/** Processes each view up to the new one in order, since records are handed off per view. */
	onViewChange(before: ZoneView, after: ZoneView): void {
		const { box, incarnation } = this.context.self
		this.replicationLog.setView(after.number, after.members)
		for (let number = Math.max(1, this.appliedView + 1); number <= after.number; number++) {
			const oldMembers = lastMembersBefore(after, number)
			const members = membersAt(after, number)
			if (!members) continue
			this.appliedView = number
			if (!hasIncarnation(members, box, incarnation)) continue
			this.dropUnreachableSources(number, members)
			this.processViewChange(number, oldMembers ?? before.members, members)
		}
		this.updateCompleteness()
	}

	/** Applies a batch to the replica of another box. Rejects batches of incarnations that are no longer members. */
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
		const replicaBox = replicaBoxOf(view.members, batch.box)
		if (!replicaBox || !this.isSelf(replicaBox)) return
		const replica = this.getOrCreateReplica(batch.box, batch.incarnation)
		const seq = replica.apply(batch)
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

	replica(box: BoxName, incarnation: string): BoxReplica | undefined {
		return this.replicas.get(`${box}#${incarnation}`)
	}

	/** Drops the replica of an incarnation whose report is in the zone ledger. */
	dropReplica(box: BoxName, incarnation: string): void {
		this.replicas.delete(`${box}#${incarnation}`)
	}

	/** Acknowledges handoffs whose records the replica of this box holds too. */
	private sendHandoffAcks(): void {
		const { members } = this.context.blackboard.members.view
		while (this.pendingAcks[0] && this.replicationLog.isDurable(this.pendingAcks[0].logPosition)) {
			const ack = this.pendingAcks.shift()
			const to = ack && findMember(members, ack.to)
			if (!to) continue
			this.context.send(to, { kind: 'handoff-ack', view: ack.view, source: ack.source })
		}
	}

	/**
	 * Determines who sends the records of each old member: the member itself, or the box with its replica. Seals the
	 * replicas that this box holds of removed members, and reports records that no member holds as lost.
	 */
	private processViewChange(
		number: number,
		oldMembers: readonly Member[],
		members: readonly Member[],
	): void {
		const self = this.context.self.box
		for (const source of oldMembers) {
			const survives = hasIncarnation(members, source.box, source.incarnation)
			if (source.box === self && survives) continue
			const replicaBox = replicaBoxOf(oldMembers, source.box)
			const sender = survives ? source : replicaBox
			const isSenderMember = sender && hasIncarnation(members, sender.box, sender.incarnation)
			if (!survives && sender && this.isSelf(sender))
				this.sealReplica(number, source, oldMembers, members)
			else if (isSenderMember) this.awaitedSources.set(sourceKey(number, source.box), sender)
			else this.reportLoss(number - 1, source, oldMembers)
		}
		if (hasIncarnation(oldMembers, self, this.context.self.incarnation))
			this.queueHandoffs(number, self, members)
	}

	private isSelf(member: Member): boolean {
		const { box, incarnation } = this.context.self
		return member.box === box && member.incarnation === incarnation
	}

	/** Merges the replica of a removed incarnation into the records of this box and sends them to their new owners. */
	private sealReplica(
		number: number,
		source: Member,
		oldMembers: readonly Member[],
		members: readonly Member[],
	): void {
		const replica = this.replicas.get(entryKey(source.box, source.incarnation))
		if (!replica || replica.viewNumber !== number - 1) {
			this.reportLoss(number - 1, source, oldMembers)
			this.queueHandoffs(number, source.box, members)
			return
		}
		for (const loss of replica.losses.values()) this.addLoss(loss)
		for (const record of replica.records.values()) this.mergeRecord(record)
		this.context.log('box-sealed', {
			gone: source.box,
			incarnation: source.incarnation,
			records: replica.records.size,
		})
		this.hooks.onSealed(replica)
		this.queueHandoffs(number, source.box, members)
	}

	private queueHandoffs(view: number, source: BoxName, members: readonly Member[]): void {
		this.pendingHandoffs.push({ view, source, members })
	}

	/**
	 * Sends the handoffs that are due. The receiver takes a handoff as complete, so this box sends none until the records
	 * of earlier views have arrived or are known to be lost.
	 */
	private sendPendingHandoffs(): void {
		while (this.pendingHandoffs[0] && !this.awaitsEarlierRecords(this.pendingHandoffs[0].view)) {
			const handoff = this.pendingHandoffs.shift()
			if (handoff) this.sendHandoffs(handoff)
		}
	}

	private awaitsEarlierRecords(view: number): boolean {
		for (const key of this.awaitedSources.keys()) if (parseSourceKey(key).view < view) return true
		return false
	}

	private sendHandoffs({ view, source, members }: PendingHandoff): void {
		const losses = [...this.losses.values()]
		const records = [...this.section.records.values()]
		for (const member of members) {
			if (member.box === this.context.self.box) continue
			const ownedRecords = records.filter((record) => {
				return ownerOf(members, keyOf(record.id))?.box === member.box
			})
			this.handoffSender.add({ to: member, view, source, records: ownedRecords, losses })
		}
	}

	private reportLoss(view: number, source: Member, oldMembers: readonly Member[]): void {
		const members = eligibleOwners(oldMembers)
		this.addLoss({ view, box: source.box, members, at: this.context.now })
	}

	private addLoss(loss: RecordLoss): void {
		const key = sourceKey(loss.view, loss.box)
		const existing = this.losses.get(key)
		if (existing && existing.at >= loss.at) return
		this.losses.set(key, loss)
		this.replicationLog.addLoss(loss)
		if (!existing) this.context.log('records-lost', { lost: loss.box, view: loss.view })
	}

	/** Reports the records of senders that left the view before their handoff arrived as lost. */
	private dropUnreachableSources(number: number, members: readonly Member[]): void {
		for (const [key, sender] of this.awaitedSources) {
			if (hasIncarnation(members, sender.box, sender.incarnation)) continue
			this.awaitedSources.delete(key)
			const { view, box } = parseSourceKey(key)
			const oldMembers = membersAt(this.context.blackboard.members.view, view - 1)
			const source = oldMembers?.find((member) => member.box === box)
			if (oldMembers && source) this.reportLoss(view - 1, source, oldMembers)
		}
		this.handoffSender.dropNonMembers(members, number)
	}

	private mergeRecord(record: IdempotencyRecord): void {
		const existing = this.section.records.get(record.id)
		const latest = existing ? laterRecord(existing, record) : record
		if (latest === existing) return
		this.section.records.set(record.id, latest)
		this.replicationLog.addRecord(latest)
	}

	private getOrCreateReplica(box: BoxName, incarnation: BoxReplica['incarnation']): BoxReplica {
		const key = entryKey(box, incarnation)
		let replica = this.replicas.get(key)
		if (!replica) {
			replica = new BoxReplica(box, incarnation)
			this.replicas.set(key, replica)
		}
		return replica
	}

	private updateCompleteness(): void {
		this.sendPendingHandoffs()
		const hasAllRecords = this.appliedView > 0 && this.awaitedSources.size === 0
		if (hasAllRecords && !this.section.hasAllRecords)
			this.context.log('handoff-done', { view: this.appliedView })
		this.section.hasAllRecords = hasAllRecords
	}

	private expire(): void {
		if (this.context.now - this.lastExpiryAt < EXPIRY_PERIOD_MS) return
		this.lastExpiryAt = this.context.now
		const policy = this.context.blackboard.config.index?.bundle.policy
		const expiredBefore = this.context.now - (policy?.retentionMs ?? DEFAULT_RETENTION_MS)
		const { records } = this.section
		for (const [id, record] of records) if (record.at < expiredBefore) records.delete(id)
		for (const replica of this.replicas.values()) replica.expire(expiredBefore)
		for (const [key, loss] of this.losses) if (loss.at < expiredBefore) this.losses.delete(key)
	}
}

function sourceKey(view: number, box: BoxName): string {
	return `${view}/${box}`
}

function parseSourceKey(key: string): { view: number; box: BoxName } {
	const separator = key.indexOf('/')
	return { view: Number(key.slice(0, separator)), box: key.slice(separator + 1) as BoxName }
}
