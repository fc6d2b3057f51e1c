import {
	MAX_STREAM_AGE_MS,
	NO_REVISION,
	brandId,
	isNewerRevision,
	rendezvousRank,
	type BoxName,
	type LogEvent,
	type ServiceName,
	type SoftwareVersion,
	type StoreRevision,
	type TargetRegistry,
} from '@stallwing/core'
import type { KeyValueStore, StoreItem } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import type { TargetListStatus } from './KnownVersions.js'

export interface VersionHistoryOptions {
	readonly store: KeyValueStore
	/** Store key of the document that all boxes share. */
	readonly key: string
	readonly versions: TargetRegistry['versions']
	readonly box: BoxName
	readonly boxes: () => readonly BoxName[]
	/** True if no box has run before, so that no earlier stream exists. */
	readonly isFirstStart: boolean
	/** How current the list of targets is. */
	readonly targetList: () => Pick<TargetListStatus, 'continuousSince' | 'isCurrent'>
	/** Clock of the list of targets, in ms. */
	readonly suspendAwareNow: () => number
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly random: () => number
	readonly log: (event: LogEvent) => void
}

/** Versions by service. */
type StoredVersions = Readonly<Record<string, readonly string[]>>

/** Boxes that write a change at once; the others do so if it is not stored some time later. */
const FIRST_WRITERS = 2
const WRITE_DELAY_MS = 1_000
const WRITE_JITTER_MS = 2_000
const RETRY_MS = 1_000
/** The document may be read this long before the list of targets, in ms; both are read when a process starts. */
const MAX_READ_LEAD_MS = 3_000

/**
 * The software versions of targets that have served recently, in the store, so that they are known after a restart of all
 * boxes. The document is written when the set of a service changes, and read together with the list of boxes. It states no
 * times: what a starting box reads counts as serving until then.
 */
export class VersionHistory {
	private stored: StoredVersions = {}
	/** Undefined if the store has no document. */
	private revision: StoreRevision | undefined
	private era = 0
	/** When the document was last asked for, of the answers that had it, on the clock of the list of targets. */
	private readAt = -Infinity
	private isReading = false
	private readDueAt = -Infinity
	private isWriting = false
	/** Value of `continuousSince` for the first list of this process. */
	private firstListedSince: number | undefined
	/** Time at which this box writes a change; undefined if the store has all. */
	private writeAt: number | undefined

	constructor(private readonly options: VersionHistoryOptions) {}

	/** True if this box knows all versions that have served for as long as a stream can last, until its list was confirmed. */
	get isKnown(): boolean {
		const { continuousSince } = this.options.targetList()
		if (continuousSince === undefined) return false
		return this.isSeen || this.readAt >= continuousSince - MAX_READ_LEAD_MS
	}

	/** True if this box knows these versions from its own lists. A record may be from before a restore of the store. */
	get isSeen(): boolean {
		const { isFirstStart, suspendAwareNow, targetList } = this.options
		const { continuousSince } = targetList()
		if (continuousSince === undefined) return false
		this.firstListedSince ??= continuousSince
		if (isFirstStart && continuousSince === this.firstListedSince) return true
		return suspendAwareNow() - continuousSince >= MAX_STREAM_AGE_MS
	}

	/**
	 * Adds the versions of the stored document; `item` is undefined if there is none. `askedAt` is when the store was asked for
	 * its newest data, on the clock of the list of targets; undefined if the answer may be older.
	 */
	applyStored(item: StoreItem | undefined, askedAt?: number): void {
		this.resetOnNewEra()
		if (!item) return
		const isNewer = isNewerRevision(item.revision, this.revision ?? NO_REVISION)
		if (!isNewer && askedAt === undefined) return
		this.revision = item.revision
		const stored = decode(item.value)
		if (!stored) {
			if (isNewer) this.options.log({ name: 'stream-record-unreadable', fields: { key: item.key } })
			return
		}
		if (askedAt !== undefined) this.readAt = Math.max(this.readAt, askedAt)
		this.stored = stored
		const { now, versions } = this.options
		for (const [service, names] of Object.entries(stored))
			for (const name of names)
				versions.noteRecorded(brandId<ServiceName>(service), brandId<SoftwareVersion>(name), now())
	}

	/** Reads what this box has missed, and writes what has changed. Must be called several times per second. */
	maintain(): void {
		this.resetOnNewEra()
		if (this.mayReadMissed) void this.read()
		if (!this.hasChanged) {
			this.writeAt = undefined
			return
		}
		const now = this.options.now()
		this.writeAt ??= now + this.writeDelayMs
		if (now >= this.writeAt && !this.isWriting) void this.write()
	}

	/** True if this box had no current list for some time, and has one again. */
	private get mayReadMissed(): boolean {
		const { boxes, now, targetList } = this.options
		const isDue = !this.isReading && now() >= this.readDueAt && boxes().length > 0
		return isDue && targetList().isCurrent && !this.isKnown
	}

	private async read(): Promise<void> {
		const { key, log, now, store, suspendAwareNow } = this.options
		const askedAt = suspendAwareNow()
		this.isReading = true
		const result = await store.read(key)
		this.isReading = false
		this.readDueAt = now() + RETRY_MS
		if (E.isRight(result)) this.applyStored(result.right, askedAt)
		else log({ name: 'stream-record-unread', fields: { key, fault: result.left.kind } })
	}

	/** A store that was restored from a backup may lack the last changes. */
	private resetOnNewEra(): void {
		const { era } = this.options.store
		if (era === this.era) return
		this.era = era
		this.stored = {}
		this.revision = undefined
	}

	/** True if this box knows what the document should hold, and it holds something else. */
	private get hasChanged(): boolean {
		return (
			this.isKnown && this.options.boxes().length > 0 && encode(this.recent) !== encode(this.stored)
		)
	}

	private get recent(): StoredVersions {
		const { now, versions } = this.options
		const services = versions.servicesSince(now())
		return Object.fromEntries(
			services.map((service) => [service, [...versions.recentOf(service, now())]]),
		)
	}

	private get writeDelayMs(): number {
		const { box, boxes, key, random } = this.options
		const isFirst = rendezvousRank(key, box, boxes(), FIRST_WRITERS) !== undefined
		return isFirst ? 0 : WRITE_DELAY_MS + random() * WRITE_JITTER_MS
	}

	private async write(): Promise<void> {
		const { key, log, now, store } = this.options
		const written = this.recent
		this.isWriting = true
		const result = await store.write(key, Buffer.from(encode(written)), this.revision)
		this.isWriting = false
		this.writeAt = now() + RETRY_MS
		if (E.isLeft(result)) {
			log({ name: 'stream-record-not-stored', fields: { key, fault: result.left.kind } })
			return
		}
		if (result.right.kind === 'written') {
			this.revision = result.right.revision
			this.stored = written
			return
		}
		const { current } = result.right
		if (current) this.applyStored(current)
		else this.revision = undefined
		this.writeAt = now()
	}
}

/** In a fixed order, so that equal sets have equal texts. */
function encode(versions: StoredVersions): string {
	const rows = Object.entries(versions).map(([service, names]) => [service, [...names].sort()])
	return JSON.stringify(
		Object.fromEntries(rows.sort(([a], [b]) => (String(a) < String(b) ? -1 : 1))),
	)
}

/** Returns undefined if the value is not such a document. */
function decode(value: Buffer): StoredVersions | undefined {
	let document: unknown
	try {
		document = JSON.parse(value.toString('utf8'))
	} catch {
		return undefined
	}
	if (typeof document !== 'object' || document === null || Array.isArray(document)) return undefined
	const isValid = Object.values(document).every(
		(names) => Array.isArray(names) && names.every((name) => typeof name === 'string'),
	)
	return isValid ? (document as StoredVersions) : undefined
}
