import type { CrashRecord, RequestQuarantine } from '@stallwing/core'
import type { PeerDatagrams } from './PeerDatagrams.js'
import { decodeCrashRecords, encodeCrashRecords } from './crashRecordCodec.js'
import { randomPeers } from './quarantine/randomPeers.js'
import { sendRecords } from './quarantine/sendRecords.js'

export interface QuarantineSharingOptions {
	readonly quarantine: RequestQuarantine
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	/** Called with the records that messages from other boxes changed. */
	readonly onRecordsReceived: (records: readonly CrashRecord[]) => void
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly random: () => number
}

/**
 * Time over which changed records are batched, in ms: one crash changes the records of all requests that the target
 * ran.
 */
const BATCH_WINDOW_MS = 20
const GOSSIP_INTERVAL_MS = 500
/** Random peers per gossip round: a record that was lost reaches a fleet of 500 in 4 or 5 rounds. */
const GOSSIP_FANOUT = 3
/** Age up to which records are gossiped, in ms. Callers that retry do so within this time. */
const MAX_GOSSIP_AGE_MS = 120_000
/** Records sent at once; of a longer list, a random range of this size. */
const MAX_RECORDS_PER_SEND = 40

/**
 * Exchanges crash records with other boxes by datagram, so that it also works while the store is unavailable.
 * Changed records go to all boxes at once. To make up for lost datagrams, network partitions and restarts, each box
 * also gossips recent records of quarantined requests and requests on probation to a few random boxes. A box that
 * receives a record older than its own shares its own again. Nothing is sent while no target crashes.
 */
export class QuarantineSharing {
	private pending = new Map<string, CrashRecord>()
	private batchTimer: NodeJS.Timeout | undefined
	private gossipTimer: NodeJS.Timeout | undefined

	constructor(private readonly options: QuarantineSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	start(): void {
		this.gossipTimer = setInterval(() => this.gossip(), GOSSIP_INTERVAL_MS)
	}

	stop(): void {
		clearInterval(this.gossipTimer)
		clearTimeout(this.batchTimer)
	}

	/** Sends a record to all other boxes with the next batch. */
	share(record: CrashRecord): void {
		this.pending.set(record.fingerprint, record)
		this.batchTimer ??= setTimeout(() => this.sendPending(), BATCH_WINDOW_MS)
	}

	private sendPending(): void {
		this.batchTimer = undefined
		const records = [...this.pending.values()]
		this.pending = new Map()
		this.send(records, this.options.peers())
	}

	private gossip(): void {
		const { now, peers, quarantine, random } = this.options
		const oldest = now() - MAX_GOSSIP_AGE_MS
		const records = quarantine.restricted.filter((record) => record.changedAt >= oldest)
		if (records.length > 0) this.send(records, randomPeers(peers(), GOSSIP_FANOUT, random))
	}

	private send(records: readonly CrashRecord[], peers: readonly string[]): void {
		const { datagrams, now, random } = this.options
		const first = Math.floor(random() * Math.max(1, records.length - MAX_RECORDS_PER_SEND + 1))
		const sent = records.slice(first, first + MAX_RECORDS_PER_SEND)
		sendRecords(sent, peers, datagrams, (some) => encodeCrashRecords(some, now()))
	}

	private receive(bytes: Buffer): boolean {
		const { now, onRecordsReceived, quarantine } = this.options
		const records = decodeCrashRecords(bytes, now())
		if (!records) return false
		for (const record of quarantine.newerRecords(records)) this.share(record)
		const changed = quarantine.merge(records)
		if (changed.length > 0) onRecordsReceived(changed)
		return true
	}
}
