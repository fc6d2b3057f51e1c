import {
	lastCrashAt,
	type PartQuarantine,
	type PartRecord,
	type PromptPartId,
} from '@stallwing/core'
import type { PeerDatagrams } from '../PeerDatagrams.js'
import { decodePartRecords, encodePartRecords } from './partRecordCodec.js'
import { randomPeers } from './randomPeers.js'
import { sendRecords } from './sendRecords.js'

export interface PartSharingOptions {
	readonly quarantine: PartQuarantine
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	/** Called with the records that messages from other boxes changed. */
	readonly onReceived: (records: readonly PartRecord[]) => void
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly random: () => number
}

/**
 * Maximum random delay of a message, in ms per other box and in total. Many boxes learn the same from one crash; the delay
 * lets the first one send it for all.
 */
const MAX_DELAY_PER_PEER_MS = 4
const MAX_DELAY_MS = 400
const SEND_INTERVAL_MS = 10
const GOSSIP_INTERVAL_MS = 500
/** Random boxes per round of gossip about held parts. */
const GOSSIP_FANOUT = 3
/** Time since the last crash for which a held part is gossiped, in ms. */
const MAX_GOSSIP_AGE_MS = 120_000

/**
 * Exchanges the records of parts with other boxes by datagram. A record is sent after a short random delay, unless
 * another box has sent the same meanwhile. Held parts are gossiped to make up for lost datagrams, partitions and
 * restarts. Nothing is sent while no target crashes.
 */
export class PartSharing {
	/** Time at which each record is to be sent. */
	private readonly pending = new Map<PromptPartId, number>()
	private sendTimer: NodeJS.Timeout | undefined
	private gossipTimer: NodeJS.Timeout | undefined

	constructor(private readonly options: PartSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	start(): void {
		this.gossipTimer = setInterval(() => this.gossip(), GOSSIP_INTERVAL_MS)
	}

	stop(): void {
		clearInterval(this.gossipTimer)
		clearInterval(this.sendTimer)
	}

	/** Sends records to all other boxes, unless another box sends the same first. */
	share(records: readonly PartRecord[]): void {
		const { now, peers, random } = this.options
		const maxDelayMs = Math.min(MAX_DELAY_MS, MAX_DELAY_PER_PEER_MS * peers().length)
		for (const { part } of records)
			if (!this.pending.has(part)) this.pending.set(part, now() + random() * maxDelayMs)
		if (this.pending.size > 0)
			this.sendTimer ??= setInterval(() => this.sendDue(), SEND_INTERVAL_MS)
	}

	private sendDue(): void {
		const { now, peers, quarantine } = this.options
		const due = [...this.pending].flatMap(([part, at]) => (at <= now() ? part : []))
		for (const part of due) this.pending.delete(part)
		this.send(
			due.flatMap((part) => quarantine.get(part) ?? []),
			peers(),
		)
		if (this.pending.size > 0) return
		clearInterval(this.sendTimer)
		this.sendTimer = undefined
	}

	private gossip(): void {
		const { now, peers, quarantine, random } = this.options
		const oldest = now() - MAX_GOSSIP_AGE_MS
		const records = quarantine.held.filter((record) => lastCrashAt(record) >= oldest)
		if (records.length > 0) this.send(records, randomPeers(peers(), GOSSIP_FANOUT, random))
	}

	private send(records: readonly PartRecord[], peers: readonly string[]): void {
		const { datagrams, now } = this.options
		sendRecords(records, peers, datagrams, (some) => encodePartRecords(some, now()))
	}

	private receive(bytes: Buffer): boolean {
		const { now, onReceived, quarantine } = this.options
		const records = decodePartRecords(bytes, now())
		if (!records) return false
		const changed = quarantine.merge(records)
		for (const record of records) {
			const own = quarantine.recordToTell(record)
			if (own) this.share([own])
			else this.pending.delete(record.part)
		}
		if (changed.length > 0) onReceived(changed)
		return true
	}
}
