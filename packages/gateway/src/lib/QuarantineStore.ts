import {
	NO_REVISION,
	describeRevision,
	isNewerRevision,
	type CrashRecord,
	type LogEvent,
	type PartQuarantine,
	type PartRecord,
	type RequestQuarantine,
	type StoreRevision,
} from '@stallwing/core'
import type { KeyValueStore, StoreItem } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { decodeCrashRecords, encodeCrashRecords } from './crashRecordCodec.js'
import { decodePartRecords, encodePartRecords } from './quarantine/partRecordCodec.js'

export interface QuarantineStoreOptions {
	readonly store: KeyValueStore
	/** Store key of the document that all boxes of the fleet share. */
	readonly key: string
	readonly quarantine: RequestQuarantine
	readonly parts: PartQuarantine
	/** Called with the records of parts in the stored document. */
	readonly onPartsReceived: (records: readonly PartRecord[]) => void
	/** Called with the records that the stored document changed. */
	readonly onRecordsReceived: (records: readonly CrashRecord[]) => void
	/** Monotonic clock, in ms. */
	readonly now: () => number
	/** Wall clock, in ms since the epoch. */
	readonly wallTime: () => number
	readonly log: (event: LogEvent) => void
}

/** The document in the store. */
interface StoredQuarantine {
	/** Wall clock time of the write, in ms since the epoch. */
	readonly writtenAt: number
	/** Records of requests; output of {@link encodeCrashRecords}. */
	readonly told: string
	/** Records of parts; output of {@link encodePartRecords}. Missing in documents of earlier versions. */
	readonly parts?: string
}

interface StoredRecords {
	readonly requests: readonly CrashRecord[]
	readonly parts: readonly PartRecord[]
}

const NOTHING_STORED: StoredRecords = { requests: [], parts: [] }

/** Attempts to save after write conflicts with other boxes; each attempt first merges the current document. */
const MAX_WRITE_ATTEMPTS = 3

/**
 * Saves quarantined requests in the store, so that they survive a restart of all boxes. Boxes write the document
 * when a request is quarantined or cleared, and read it together with the list of boxes, so that it costs no calls
 * while nothing changes. Suspect requests that are not quarantined are not saved.
 */
export class QuarantineStore {
	/** Undefined if the store has no document. */
	private revision: StoreRevision | undefined
	/** Contents of the store as of the last read or write of this box. */
	private stored = NOTHING_STORED
	private isWriting = false
	/** Store era in which `storedRecords` was current. */
	private era = 0

	constructor(private readonly options: QuarantineStoreOptions) {}

	/** Merges the stored document of the fleet; `item` is undefined if there is none. */
	applyStored(item: StoreItem | undefined): void {
		this.resetOnNewEra()
		if (!item || !isNewerRevision(item.revision, this.revision ?? NO_REVISION)) return
		this.revision = item.revision
		const { log, onRecordsReceived, quarantine } = this.options
		const records = this.decode(item)
		if (!records) {
			log({
				name: 'quarantine-unreadable',
				fields: { key: item.key, revision: describeRevision(item.revision) },
			})
			return
		}
		this.stored = records
		if (records.parts.length > 0) this.options.onPartsReceived(records.parts)
		const changed = quarantine.merge(records.requests)
		if (changed.length > 0) onRecordsReceived(changed)
	}

	/**
	 * Saves the records that the store lacks. Must be called after each change, and periodically to repeat failed
	 * writes.
	 */
	async save(): Promise<void> {
		if (this.isWriting) return
		this.resetOnNewEra()
		this.isWriting = true
		for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS && this.hasUnsavedRecords; attempt++) {
			if (await this.write()) break
		}
		this.isWriting = false
	}

	/**
	 * Discards the last known contents of the store if it has been restored from a backup, so that this box saves its
	 * records again.
	 */
	private resetOnNewEra(): void {
		const { era } = this.options.store
		if (era === this.era) return
		this.era = era
		this.stored = NOTHING_STORED
		this.revision = undefined
	}

	/** True if this box has records that are newer than those in the store. */
	private get hasUnsavedRecords(): boolean {
		return this.hasUnsavedRequests || this.hasUnsavedParts
	}

	private get hasUnsavedParts(): boolean {
		const { parts } = this.options
		const stored = new Set(this.stored.parts.map(({ part }) => part))
		if (parts.held.some(({ part }) => !stored.has(part))) return true
		return this.stored.parts.some(
			({ crashes, part }) => crashes.length > 0 && parts.get(part)?.crashes.length === 0,
		)
	}

	private get hasUnsavedRequests(): boolean {
		const stored = new Map(this.stored.requests.map((record) => [record.fingerprint, record]))
		return this.options.quarantine.all.some((record) => {
			const storedRecord = stored.get(record.fingerprint)
			if (!storedRecord) return record.isQuarantined
			return (
				record.generation > storedRecord.generation ||
				(record.isQuarantined && !storedRecord.isQuarantined)
			)
		})
	}

	/** Returns false on a write conflict with another box, true otherwise, also if the store failed. */
	private async write(): Promise<boolean> {
		const { key, log, now, store, wallTime } = this.options
		const records = this.recordsToStore
		const document: StoredQuarantine = {
			writtenAt: wallTime(),
			told: encodeCrashRecords(records.requests, now()),
			parts: encodePartRecords(records.parts, now()),
		}
		const result = await store.write(key, Buffer.from(JSON.stringify(document)), this.revision)
		if (E.isLeft(result)) {
			log({ name: 'quarantine-not-stored', fields: { fault: result.left.kind } })
			return true
		}
		if (result.right.kind === 'conflict') {
			const { current } = result.right
			if (current) this.applyStored(current)
			else this.revision = undefined
			return false
		}
		this.revision = result.right.revision
		this.stored = records
		return true
	}

	/** What is quarantined, and what is stored already, because it may have been cleared. */
	private get recordsToStore(): StoredRecords {
		const { parts, quarantine } = this.options
		const fingerprints = new Set(this.stored.requests.map((record) => record.fingerprint))
		const partIds = new Set([...this.stored.parts, ...parts.held].map(({ part }) => part))
		return {
			requests: quarantine.all.filter(
				(record) => record.isQuarantined || fingerprints.has(record.fingerprint),
			),
			parts: [...partIds].flatMap((part) => parts.get(part) ?? []),
		}
	}

	private decode({ value }: StoreItem): StoredRecords | undefined {
		try {
			const document = JSON.parse(value.toString('utf8')) as Partial<StoredQuarantine> | null
			if (typeof document?.told !== 'string' || typeof document.writtenAt !== 'number')
				return undefined
			const ageMs = Math.max(0, this.options.wallTime() - document.writtenAt)
			const writtenAt = this.options.now() - ageMs
			const requests = decodeCrashRecords(Buffer.from(document.told), writtenAt)
			const parts = decodePartRecords(Buffer.from(document.parts ?? ''), writtenAt) ?? []
			return requests && { requests, parts }
		} catch {
			return undefined
		}
	}
}
