import {
	PartQuarantine,
	lastCrashAt,
	type LogEvent,
	type PartRecord,
	type PromptPartId,
	type TargetIncarnation,
} from '@stallwing/core'
import type { PeerDatagrams } from '../PeerDatagrams.js'
import { PartSharing } from './PartSharing.js'

export interface PartProtectionOptions {
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	/** Called when a part is held or released, so that it is stored. */
	readonly onHeldChanged: () => void
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly random: () => number
	readonly log: (event: LogEvent) => void
}

/** A held part in the operator status. */
export interface HeldPartStatus {
	readonly part: PromptPartId
	/** Incarnations of targets that crashed while they ran requests with the part. */
	readonly lives: readonly string[]
	/** Time since the last crash, in ms. */
	readonly ageMs: number
	/** Time until requests with the part may run again, in ms. */
	readonly heldMs: number
}

/** How this box learned that a part is held or free. */
type Source = 'crash' | 'answer' | 'operator' | 'box' | 'store'

/** Keeps requests from targets if a part of their prompts crashes every target that runs it. */
export class PartProtection {
	readonly quarantine = new PartQuarantine()
	private readonly sharing: PartSharing
	private knownHeld: ReadonlySet<PromptPartId> = new Set()

	constructor(private readonly options: PartProtectionOptions) {
		this.sharing = new PartSharing({
			...options,
			quarantine: this.quarantine,
			onReceived: () => this.noteChange('box'),
		})
	}

	start(): void {
		this.sharing.start()
	}

	stop(): void {
		this.sharing.stop()
	}

	/** Records that a target crashed while it ran a request with the parts. */
	recordCrash(
		parts: readonly PromptPartId[],
		incarnation: TargetIncarnation,
		endedAt: number,
	): void {
		if (parts.length === 0) return
		this.sharing.share(this.quarantine.recordCrash(parts, incarnation, endedAt))
		this.noteChange('crash')
	}

	/** Records that a target answered a request with the parts completely. */
	recordAnswer(parts: readonly PromptPartId[]): void {
		const cleared = this.quarantine.recordAnswer(parts, this.options.now())
		if (cleared.length === 0) return
		this.sharing.share(cleared)
		this.noteChange('answer')
	}

	/** Merges the stored records of the fleet. */
	applyStored(records: readonly PartRecord[]): void {
		if (this.quarantine.merge(records).length > 0) this.noteChange('store')
	}

	/** Why a request with the parts may not run, and for how long, in ms; undefined if it may. */
	findHold(
		parts: readonly PromptPartId[],
	): { readonly detail: string; readonly opensInMs: number } | undefined {
		const held = this.quarantine.findHeld(parts, this.options.now())
		return held && { detail: `part ${held.record.part} ends targets`, opensInMs: held.heldMs }
	}

	/** Releases a part at all boxes on behalf of an operator. Returns false if it is not held. */
	release(part: PromptPartId): boolean {
		const record = this.quarantine.release(part, this.options.now())
		if (!record) return false
		this.sharing.share([record])
		this.noteChange('operator')
		return true
	}

	/** Removes expired records. Must be called regularly. */
	expire(): void {
		this.quarantine.expire(this.options.now())
	}

	get status(): readonly HeldPartStatus[] {
		const now = this.options.now()
		return this.quarantine.held.map((record) => ({
			part: record.part,
			lives: record.crashes.map(({ incarnation }) => incarnation),
			ageMs: Math.round(now - lastCrashAt(record)),
			heldMs: Math.round(this.quarantine.findHeld([record.part], now)?.heldMs ?? 0),
		}))
	}

	private noteChange(source: Source): void {
		const held = this.quarantine.held
		const before = this.knownHeld
		this.knownHeld = new Set(held.map(({ part }) => part))
		for (const record of held) if (!before.has(record.part)) this.logHeld(record, source)
		const released = [...before].filter((part) => !this.knownHeld.has(part))
		for (const part of released)
			this.options.log({ name: 'part-released', fields: { part, source } })
		if (released.length > 0 || held.some(({ part }) => !before.has(part)))
			this.options.onHeldChanged()
	}

	private logHeld({ answeredAt, crashes, part }: PartRecord, source: Source): void {
		const now = this.options.now()
		const ages = crashes.map(({ endedAt }) => Math.round(now - endedAt))
		this.options.log({
			name: 'part-held',
			fields: {
				part,
				source,
				lives: crashes.map(({ incarnation }) => incarnation).join(),
				agesMs: ages.join(),
				answeredAgeMs: Number.isFinite(answeredAt) ? Math.round(now - answeredAt) : -1,
			},
		})
	}
}
