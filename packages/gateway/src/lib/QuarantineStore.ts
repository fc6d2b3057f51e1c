import {
	NO_REVISION,
	describeRevision,
	isNewerRevision,
	type CrashRecord,
	type LogEvent,
	type RequestQuarantine,
	type StoreRevision,
} from '@stallwing/core'
import type { KeyValueStore, StoreItem } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { decodeCrashRecords, encodeCrashRecords } from './crashRecordCodec.js'

/** What a {@link QuarantineStore} works with. */
export interface QuarantineStoreOptions {
	readonly store: KeyValueStore
	/** Key of the one record of the fleet. */
	readonly key: string
	readonly quarantine: RequestQuarantine
	/** The store told something new. */
	readonly onRecordsReceived: (records: readonly CrashRecord[]) => void
	/** Steady clock, in ms. */
	readonly now: () => number
	/** Time of day, in ms. */
	readonly wallTime: () => number
	readonly log: (event: LogEvent) => void
}

/** The document: the time of day when it was written, in ms, and the records as boxes tell them. */
interface StoredQuarantine {
	readonly writtenAt: number
	readonly told: string
}

/** Tries of one write: boxes that meet read what the other wrote. */
const MAX_WRITE_ATTEMPTS = 3

/**
 * Keeps quarantined requests in the store, so that they outlast a loss of power of all boxes. It is written when a
 * request is quarantined or cleared, by the box that found it out, and read with the list of boxes: a calm day costs
 * no call. Requests that are only suspect are not kept: after a loss of power three more targets prove it.
 */
export class QuarantineStore {
	/** Undefined where the record is absent. */
	private revision: StoreRevision | undefined
	/** What the store holds, as far as this box knows. */
	private storedRecords: readonly CrashRecord[] = []
	private isWriting = false
	/** Era of the store in which it held that. */
	private era = 0

	constructor(private readonly options: QuarantineStoreOptions) {}

	/** Takes the record of the fleet; undefined where there is none. */
	applyStored(item: StoreItem | undefined): void {
		this.resetOnNewEra()
		if (!item || !isNewerRevision(item.revision, this.revision ?? NO_REVISION)) return
		this.revision = item.revision
		const { log, onRecordsReceived: onHeard, quarantine } = this.options
		const told = this.decode(item)
		if (!told) {
			log({
				name: 'quarantine-unreadable',
				fields: { key: item.key, revision: describeRevision(item.revision) },
			})
			return
		}
		this.storedRecords = told
		const changed = quarantine.merge(told)
		if (changed.length > 0) onHeard(changed)
	}

	/** Writes what the store lacks. To be called after each change, and now and then for writes that failed. */
	async save(): Promise<void> {
		if (this.isWriting) return
		this.resetOnNewEra()
		this.isWriting = true
		for (let tries = 0; tries < MAX_WRITE_ATTEMPTS && this.unsavedRecords.length > 0; tries++) {
			if (await this.write()) break
		}
		this.isWriting = false
	}

	/** A store that came back from a copy may lack what it held: this box writes what it knows again. */
	private resetOnNewEra(): void {
		const { era } = this.options.store
		if (era === this.era) return
		this.era = era
		this.storedRecords = []
		this.revision = undefined
	}

	/** Records of this box that say more than those of the store. */
	private get unsavedRecords(): readonly CrashRecord[] {
		const known = new Map(this.storedRecords.map((record) => [record.fingerprint, record]))
		return this.options.quarantine.all.filter((record) => {
			const before = known.get(record.fingerprint)
			if (!before) return record.isQuarantined
			return (
				record.generation > before.generation || (record.isQuarantined && !before.isQuarantined)
			)
		})
	}

	/** False where another box wrote meanwhile. */
	private async write(): Promise<boolean> {
		const { key, log, now, quarantine, store, wallTime } = this.options
		const names = new Set(this.storedRecords.map((record) => record.fingerprint))
		const records = quarantine.all.filter(
			(record) => record.isQuarantined || names.has(record.fingerprint),
		)
		const document: StoredQuarantine = {
			writtenAt: wallTime(),
			told: encodeCrashRecords(records, now()),
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
		this.storedRecords = records
		return true
	}

	private decode({ value }: StoreItem): readonly CrashRecord[] | undefined {
		try {
			const document = JSON.parse(value.toString('utf8')) as Partial<StoredQuarantine> | null
			if (typeof document?.told !== 'string' || typeof document.writtenAt !== 'number')
				return undefined
			const ageMs = Math.max(0, this.options.wallTime() - document.writtenAt)
			return decodeCrashRecords(Buffer.from(document.told), this.options.now() - ageMs)
		} catch {
			return undefined
		}
	}
}
