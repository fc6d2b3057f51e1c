import type { BoxName } from '../ids.js'
import type { Member } from '../membership/ZoneView.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { Millis } from '../units.js'
import type { IdempotencyRecord, RecordLoss } from './IdempotencyRecord.js'

/** Records sent to the new owner of their keys. */
export interface Handoff {
	readonly to: Member
	readonly view: number
	readonly source: BoxName
	readonly records: readonly IdempotencyRecord[]
	readonly losses: readonly RecordLoss[]
}

/** Sends handoffs and repeats each until it is acknowledged. */
export class HandoffSender {
	private readonly unacknowledged = new Map<string, { handoff: Handoff; sentAt: Millis }>()

	constructor(private readonly context: CoreContext) {}

	add(handoff: Handoff): void {
		const key = handoffKey(handoff.to.box, handoff.view, handoff.source)
		this.unacknowledged.set(key, { handoff, sentAt: this.context.now })
		this.send(handoff)
	}

	onAck(from: BoxName, view: number, source: BoxName): void {
		this.unacknowledged.delete(handoffKey(from, view, source))
	}

	/** Drops handoffs of earlier views to incarnations that are no longer members. */
	dropNonMembers(members: readonly Member[], view: number): void {
		for (const [key, { handoff }] of this.unacknowledged) {
			const isMember = members.some((member) => member.incarnation === handoff.to.incarnation)
			if (!isMember && handoff.view < view) this.unacknowledged.delete(key)
		}
	}

	resend(): void {
		const { now, self } = this.context
		for (const entry of this.unacknowledged.values()) {
			if (now - entry.sentAt < self.timing.resendDelayMs) continue
			entry.sentAt = now
			this.send(entry.handoff)
		}
	}

	isEmpty(): boolean {
		return this.unacknowledged.size === 0
	}

	private send(handoff: Handoff): void {
		const { view, source, records, losses } = handoff
		this.context.send(handoff.to, { kind: 'handoff', view, source, records, losses })
	}
}

function handoffKey(to: BoxName, view: number, source: BoxName): string {
	return `${to}/${view}/${source}`
}
