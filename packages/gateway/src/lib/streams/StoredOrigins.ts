import {
	MAX_STREAM_AGE_MS,
	StreamOrigins,
	type BoxName,
	type LogEvent,
	type StoreRevision,
	type StreamOrigin,
} from '@stallwing/core'
import type { KeyValueStore, StoreLease } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { decodeOrigins, encodeOrigins } from './streamOriginCodec.js'

export interface StoredOriginsOptions {
	readonly store: KeyValueStore
	/** Prefix of one item for each process. */
	readonly prefix: string
	readonly box: BoxName
	/** Names this process among those of its box. */
	readonly incarnation: string
	/** Number of boxes in the fleet. */
	readonly boxCount: () => number
	/** Streams of this box that may be taken up again and need the version that began them. */
	readonly unfinished: () => readonly StreamOrigin[]
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Shortest interval between two writes of a box, in ms. */
const MIN_WRITE_INTERVAL_MS = 500
/** Writes of all boxes together, per second: a small part of what a store takes. */
const MAX_WRITES_PER_SECOND = 20
const SECOND_MS = 1_000
/** Newest streams that are stored, so that an item stays small. */
const MAX_STORED_STREAMS = 1_000
/** Items outlast their process for as long as a stream can be resumed. */
const LEASE_MS = MAX_STREAM_AGE_MS + 30_000
const LEASE_RENEWAL_MS = 30_000
/** Items that were read are used for this time, in ms. */
const MIN_READ_INTERVAL_MS = 1_000

/**
 * Where the streams of this box began, in the store, so that they can go on at the same software version after all boxes have
 * restarted. Written in batches, only while a service has several versions; what began just before a failure is missing.
 */
export class StoredOrigins {
	private readonly read = new StreamOrigins()
	private readAt = -Infinity
	private reading: Promise<void> | undefined
	private lease: StoreLease | undefined
	private leasedAt = -Infinity
	private nextWriteAt = 0
	/** Revision of the item of this process; undefined if the store has none. */
	private expected: StoreRevision | undefined
	private isWriting = false
	private written = ''

	constructor(private readonly options: StoredOriginsOptions) {}

	/** Writes the streams that began since the last write. Must be called several times per second. */
	maintain(): void {
		const { boxCount, now, unfinished } = this.options
		if (this.isWriting || now() < this.nextWriteAt) return
		const origins = unfinished().slice(-MAX_STORED_STREAMS)
		const text = encodeOrigins(origins).toString()
		if (text === this.written || (origins.length === 0 && this.written === '')) return
		const spreadMs = (boxCount() * SECOND_MS) / MAX_WRITES_PER_SECOND
		this.nextWriteAt = now() + Math.max(MIN_WRITE_INTERVAL_MS, spreadMs)
		void this.write(text)
	}

	/** Finds a stream that any process stored. */
	async find(request: string): Promise<StreamOrigin | undefined> {
		const { now } = this.options
		const known = this.read.find(request, now())
		if (known || now() - this.readAt < MIN_READ_INTERVAL_MS) return known
		this.reading ??= this.readAll().finally(() => (this.reading = undefined))
		await this.reading
		return this.read.find(request, now())
	}

	private async readAll(): Promise<void> {
		const { log, now, prefix, store } = this.options
		const listing = await store.list(prefix)
		if (E.isLeft(listing)) {
			log({ name: 'stream-record-unread', fields: { key: prefix, fault: listing.left.kind } })
			return
		}
		this.readAt = now()
		for (const item of listing.right.items)
			for (const origin of decodeOrigins(item.value) ?? []) this.read.add(origin, now())
	}

	private async write(text: string): Promise<void> {
		this.isWriting = true
		const fault = await this.tryWrite(text)
		this.isWriting = false
		if (fault === undefined) {
			this.written = text
			return
		}
		this.lease = undefined
		const { log, prefix } = this.options
		log({ name: 'stream-record-not-stored', fields: { key: prefix, fault } })
	}

	/** Returns the fault; undefined if the text was written. */
	private async tryWrite(text: string): Promise<string | undefined> {
		const { box, incarnation, now, prefix, store } = this.options
		if (!this.lease || now() - this.leasedAt >= LEASE_RENEWAL_MS) {
			const lease = await store.lease(LEASE_MS)
			if (E.isLeft(lease)) return lease.left.kind
			this.lease = lease.right
			this.leasedAt = now()
		}
		const key = `${prefix}${box}/${incarnation}`
		const result = await store.write(key, Buffer.from(text), this.expected, this.lease)
		if (E.isLeft(result)) return result.left.kind
		if (result.right.kind === 'conflict') {
			this.expected = result.right.current?.revision
			return 'conflict'
		}
		this.expected = result.right.revision
		return undefined
	}
}
