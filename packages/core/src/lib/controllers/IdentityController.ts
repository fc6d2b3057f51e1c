import { HandoffSender } from '../identity/HandoffSender.js'
import {
	laterRecord,
	keyOf,
	type IdentityRecord,
	type LossMark,
} from '../identity/IdentityRecord.js'
import { parseKey } from '../identity/IdempotencyKey.js'
import { LogSender, type LogSource, type Ticket } from '../identity/LogSender.js'
import { rendezvousFirst } from '../identity/rendezvous.js'
import { WitnessCopy } from '../identity/WitnessCopy.js'
import type { BoxName, RequestId } from '../ids.js'
import {
	findMember,
	hasIncarnation,
	lastMembersBefore,
	membersAt,
	ownerOf,
	owningBoxes,
	witnessOf,
	type Member,
	type ZoneView,
} from '../membership/ZoneView.js'
import { entryKey } from '../money/ZoneLedger.js'
import type { IdentitySection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { PeerMessage } from '../router/PeerMessage.js'
import type { Millis } from '../units.js'

/** What the identity controller tells the rest of the core. */
export interface IdentityHooks {
	/** An incarnation is gone and this box was its witness. */
	onSealed(copy: WitnessCopy): void
}

interface OwedAck {
	readonly to: BoxName
	readonly view: number
	readonly source: BoxName
	readonly ticket: Ticket
}

interface DueHandOver {
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
export class IdentityController {
	readonly log: LogSender
	private readonly copies = new Map<string, WitnessCopy>()
	private readonly losses = new Map<string, LossMark>()
	/** Sources whose records have not arrived, with the box that must send them. */
	private readonly pending = new Map<string, Member>()
	private readonly handoffs: HandoffSender
	/** Handoffs taken, to be acknowledged once the own witness has their records. */
	private readonly owedAcks: OwedAck[] = []
	/** Handoffs of this box that wait for records of earlier views. */
	private readonly dueHandOvers: DueHandOver[] = []
	private applied = 0
	private expiredAt: Millis = 0

	constructor(
		private readonly context: CoreContext,
		private readonly section: IdentitySection,
		private readonly hooks: IdentityHooks,
		money: Pick<LogSource, 'budgets' | 'moneyRow' | 'onAcked' | 'onNewerView'>,
	) {
		this.log = new LogSender(context, {
			...money,
			records: () => this.section.records.values(),
			losses: () => this.losses.values(),
		})
		this.handoffs = new HandoffSender(context)
	}

	/** The record of a request id, if any. */
	find(id: RequestId): IdentityRecord | undefined {
		return this.section.records.get(id)
	}

	/** Writes a record and enqueues it for the witness. */
	write(record: IdentityRecord): Ticket {
		const known = this.section.records.get(record.id)
		const kept = known ? laterRecord(known, record) : record
		this.section.records.set(record.id, kept)
		return this.log.addRecord(kept)
	}

	/** True where a run of this id may have been forgotten. */
	mayBeForgotten(id: RequestId): boolean {
		const index = this.context.board.config.index
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
	handedOver(): boolean {
		return this.handoffs.isEmpty()
	}

	tick(): void {
		this.handoffs.resend()
		this.log.flush()
		this.expire()
	}

	/** Follows the numbered views one by one. */
	onView(before: ZoneView, after: ZoneView): void {
		const { box, incarnation } = this.context.self
		this.log.follow(after.number, after.members)
		for (let number = Math.max(1, this.applied + 1); number <= after.number; number++) {
			const old = lastMembersBefore(after, number)
			const members = membersAt(after, number)
			if (!members) continue
			this.applied = number
			if (!hasIncarnation(members, box, incarnation)) continue
			this.dropUnreachable(number, members)
			this.transition(number, old ?? before.members, members)
		}
		this.update()
	}

	/** Takes the log of a box that this one is witness of. */
	onLog(from: BoxName, message: Extract<PeerMessage, { kind: 'log' }>): void {
		const { batch } = message
		const view = this.context.board.members.view
		const sender = findMember(view.members, from)
		const isMember = hasIncarnation(view.members, batch.box, batch.incarnation)
		if (!isMember && batch.view < view.number) {
			const address = sender?.address ?? ''
			const fenced: PeerMessage = { kind: 'fenced', incarnation: batch.incarnation, view }
			this.context.emit({ kind: 'send', to: from, address, message: fenced })
			return
		}
		if (!isMember || batch.view !== view.number || !sender) return
		const witness = witnessOf(view.members, batch.box)
		if (!witness || !this.isSelf(witness)) return
		const copy = this.copyOf(batch.box, batch.incarnation)
		const seq = copy.take(batch)
		const { incarnation } = batch
		this.context.send(sender, { kind: 'log-ack', incarnation, view: batch.view, seq })
	}

	onAck(message: Extract<PeerMessage, { kind: 'log-ack' }>): void {
		if (message.incarnation !== this.context.self.incarnation) return
		this.log.onAck(message.view, message.seq)
		this.acknowledgeInherited()
	}

	onHandoff(from: BoxName, message: Extract<PeerMessage, { kind: 'handoff' }>): void {
		if (message.view > this.applied) return
		for (const loss of message.losses) this.noteLoss(loss)
		for (const record of message.records) this.inherit(record)
		const { view, source } = message
		const key = sourceKey(view, source)
		if (this.pending.get(key)?.box === from) this.pending.delete(key)
		this.owedAcks.push({ to: from, view, source, ticket: this.log.lastTicket() })
		this.update()
		this.acknowledgeInherited()
	}

	onHandoffAck(from: BoxName, message: Extract<PeerMessage, { kind: 'handoff-ack' }>): void {
		this.handoffs.onAck(from, message.view, message.source)
	}

	/** The copy that this box holds of an incarnation, if it holds one. */
	copy(box: BoxName, incarnation: string): WitnessCopy | undefined {
		return this.copies.get(`${box}#${incarnation}`)
	}

	/** Drops the copy of an incarnation whose testimony is in the ledger. */
	dropCopy(box: BoxName, incarnation: string): void {
		this.copies.delete(`${box}#${incarnation}`)
	}

	/** Acknowledges handed-over records once the own witness has them too. */
	private acknowledgeInherited(): void {
		const { members } = this.context.board.members.view
		while (this.owedAcks[0] && this.log.isSafe(this.owedAcks[0].ticket)) {
			const owed = this.owedAcks.shift()
			const to = owed && findMember(members, owed.to)
			if (!to) continue
			this.context.send(to, { kind: 'handoff-ack', view: owed.view, source: owed.source })
		}
	}

	private transition(number: number, old: readonly Member[], members: readonly Member[]): void {
		const self = this.context.self.box
		for (const source of old) {
			const survives = hasIncarnation(members, source.box, source.incarnation)
			if (source.box === self && survives) continue
			const witness = witnessOf(old, source.box)
			const sender = survives ? source : witness
			const reachable = sender && hasIncarnation(members, sender.box, sender.incarnation)
			if (!survives && sender && this.isSelf(sender)) this.seal(number, source, old, members)
			else if (reachable) this.pending.set(sourceKey(number, source.box), sender)
			else this.lose(number - 1, source, old)
		}
		if (hasIncarnation(old, self, this.context.self.incarnation))
			this.handOver(number, self, members)
	}

	private isSelf(member: Member): boolean {
		const { box, incarnation } = this.context.self
		return member.box === box && member.incarnation === incarnation
	}

	/** As the witness of an incarnation that is gone: takes its records and hands them over. */
	private seal(
		number: number,
		source: Member,
		old: readonly Member[],
		members: readonly Member[],
	): void {
		const copy = this.copies.get(entryKey(source.box, source.incarnation))
		if (!copy || copy.view !== number - 1) {
			this.lose(number - 1, source, old)
			this.handOver(number, source.box, members)
			return
		}
		for (const loss of copy.losses.values()) this.noteLoss(loss)
		for (const record of copy.records.values()) this.inherit(record)
		this.context.log('box-sealed', {
			gone: source.box,
			incarnation: source.incarnation,
			records: copy.records.size,
		})
		this.hooks.onSealed(copy)
		this.handOver(number, source.box, members)
	}

	private handOver(view: number, source: BoxName, members: readonly Member[]): void {
		this.dueHandOvers.push({ view, source, members })
	}

	/**
	 * Sends what is due. A box that still waits for records of an earlier view must not pass for
	 * complete, so it hands nothing over until those have arrived or are known to be lost.
	 */
	private sendHandOvers(): void {
		while (this.dueHandOvers[0] && !this.isWaitingBefore(this.dueHandOvers[0].view)) {
			const due = this.dueHandOvers.shift()
			if (due) this.sendHandOver(due)
		}
	}

	private isWaitingBefore(view: number): boolean {
		for (const key of this.pending.keys()) if (splitSource(key).view < view) return true
		return false
	}

	private sendHandOver({ view, source, members }: DueHandOver): void {
		const losses = [...this.losses.values()]
		const records = [...this.section.records.values()]
		for (const member of members) {
			if (member.box === this.context.self.box) continue
			const theirs = records.filter((record) => {
				return ownerOf(members, keyOf(record.id))?.box === member.box
			})
			this.handoffs.add({ to: member, view, source, records: theirs, losses })
		}
	}

	private lose(view: number, source: Member, old: readonly Member[]): void {
		const members = owningBoxes(old)
		this.noteLoss({ view, box: source.box, members, at: this.context.now })
	}

	private noteLoss(loss: LossMark): void {
		const key = sourceKey(loss.view, loss.box)
		const known = this.losses.get(key)
		if (known && known.at >= loss.at) return
		this.losses.set(key, loss)
		this.log.addLoss(loss)
		if (!known) this.context.log('records-lost', { lost: loss.box, view: loss.view })
	}

	/** A sender that is gone before its handoff arrived takes the records with it. */
	private dropUnreachable(number: number, members: readonly Member[]): void {
		for (const [key, sender] of this.pending) {
			if (hasIncarnation(members, sender.box, sender.incarnation)) continue
			this.pending.delete(key)
			const { view, box } = splitSource(key)
			const old = membersAt(this.context.board.members.view, view - 1)
			const source = old?.find((member) => member.box === box)
			if (old && source) this.lose(view - 1, source, old)
		}
		this.handoffs.keepOnly(members, number)
	}

	private inherit(record: IdentityRecord): void {
		const known = this.section.records.get(record.id)
		const kept = known ? laterRecord(known, record) : record
		if (kept === known) return
		this.section.records.set(record.id, kept)
		this.log.addRecord(kept)
	}

	private copyOf(box: BoxName, incarnation: WitnessCopy['incarnation']): WitnessCopy {
		const key = entryKey(box, incarnation)
		let copy = this.copies.get(key)
		if (!copy) {
			copy = new WitnessCopy(box, incarnation)
			this.copies.set(key, copy)
		}
		return copy
	}

	private update(): void {
		this.sendHandOvers()
		const settled = this.applied > 0 && this.pending.size === 0
		if (settled && !this.section.settled) this.context.log('handoff-done', { view: this.applied })
		this.section.settled = settled
	}

	private expire(): void {
		if (this.context.now - this.expiredAt < EXPIRY_PERIOD_MS) return
		this.expiredAt = this.context.now
		const policy = this.context.board.config.index?.bundle.policy
		const before = this.context.now - (policy?.retentionMs ?? DEFAULT_RETENTION_MS)
		const { records } = this.section
		for (const [id, record] of records) if (record.at < before) records.delete(id)
		for (const copy of this.copies.values()) copy.expire(before)
		for (const [key, loss] of this.losses) if (loss.at < before) this.losses.delete(key)
	}
}

function sourceKey(view: number, box: BoxName): string {
	return `${view}/${box}`
}

function splitSource(key: string): { view: number; box: BoxName } {
	const at = key.indexOf('/')
	return { view: Number(key.slice(0, at)), box: key.slice(at + 1) as BoxName }
}
