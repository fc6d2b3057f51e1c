import type { CrashRecord, RequestQuarantine } from '@stallwing/core'
import type { PeerDatagrams } from './PeerDatagrams.js'
import { decodeCrashRecords, encodeCrashRecords } from './crashRecordCodec.js'

/** What a {@link QuarantineSharing} works with. */
export interface QuarantineSharingOptions {
	readonly quarantine: RequestQuarantine
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	/** Other boxes told something new. */
	readonly onRecordsReceived: (records: readonly CrashRecord[]) => void
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly random: () => number
}

/** Time over which news are gathered before they are told to all, in ms: a target ends with all its requests. */
const BATCH_WINDOW_MS = 20
/** Time between two reminders, in ms. */
const GOSSIP_INTERVAL_MS = 500
/** Boxes that are reminded each time: what a datagram did not bring reaches a fleet of 500 in 4 or 5 rounds. */
const GOSSIP_FANOUT = 3
/** Age up to which boxes are reminded of what is known of a request, in ms: a caller that comes back has by then. */
const MAX_GOSSIP_AGE_MS = 120_000
/** Records of one datagram: about 1,200 bytes, which links pass whole. */
const MAX_RECORDS_PER_DATAGRAM = 4
/** Records of one reminder or one piece of news; where there are more, a random part. */
const MAX_RECORDS_PER_SEND = 40

/**
 * Tells other boxes which requests end targets, and hears it from them. News go to all boxes at once, by datagram:
 * also while the store is away, and a target ends rarely. For datagrams that were lost, and for boxes that were cut
 * off or have just started, each box reminds a few others of requests on probation and quarantined ones for two
 * minutes; one that was reminded of what has been cleared since tells so. On a calm day nothing is sent.
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

	/** Tells all boxes about a record of this one. */
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
		const newest = now() - MAX_GOSSIP_AGE_MS
		const records = quarantine.restricted.filter((record) => record.changedAt >= newest)
		if (records.length === 0) return
		const all = peers()
		const some = Array.from({ length: GOSSIP_FANOUT }, () => all[Math.floor(random() * all.length)])
		this.send(
			records,
			some.filter((peer) => peer !== undefined),
		)
	}

	private send(records: readonly CrashRecord[], peers: readonly string[]): void {
		const { datagrams, now, random } = this.options
		const first = Math.floor(random() * Math.max(1, records.length - MAX_RECORDS_PER_SEND + 1))
		const told = records.slice(first, first + MAX_RECORDS_PER_SEND)
		for (let i = 0; i < told.length; i += MAX_RECORDS_PER_DATAGRAM) {
			const bytes = Buffer.from(
				encodeCrashRecords(told.slice(i, i + MAX_RECORDS_PER_DATAGRAM), now()),
			)
			for (const peer of peers) datagrams.send(bytes, peer)
		}
	}

	private receive(bytes: Buffer): boolean {
		const { now, onRecordsReceived: onHeard, quarantine } = this.options
		const records = decodeCrashRecords(bytes, now())
		if (!records) return false
		for (const record of quarantine.newerRecords(records)) this.share(record)
		const changed = quarantine.merge(records)
		if (changed.length > 0) onHeard(changed)
		return true
	}
}
