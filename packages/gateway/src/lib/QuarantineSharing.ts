import type { CrashRecord, RequestQuarantine } from '@stallwing/core'
import type { PeerDatagrams } from './PeerDatagrams.js'
import { decodeCrashes, encodeCrashes } from './quarantineCodec.js'

/** What a {@link QuarantineSharing} works with. */
export interface QuarantineSharingOptions {
	readonly quarantine: RequestQuarantine
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	/** Other boxes told something new. */
	readonly onHeard: (records: readonly CrashRecord[]) => void
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly random: () => number
}

/** Time over which news are gathered before they are told to all, in ms: a target ends with all its requests. */
const GATHER_MS = 20
/** Time between two reminders, in ms. */
const REMIND_MS = 500
/** Boxes that are reminded each time: what a datagram did not bring reaches a fleet of 500 in 4 or 5 rounds. */
const REMINDED = 3
/** Age up to which boxes are reminded of what is known of a request, in ms: a caller that comes back has by then. */
const REMIND_FOR_MS = 120_000
/** Records of one datagram: about 1,200 bytes, which links pass whole. */
const RECORDS_PER_DATAGRAM = 4
/** Records of one reminder or one piece of news; where there are more, a random part. */
const MOST_TOLD = 40

/**
 * Tells other boxes which requests end targets, and hears it from them. News go to all boxes at once, by datagram:
 * also while the store is away, and a target ends rarely. For datagrams that were lost, and for boxes that were cut
 * off or have just started, each box reminds a few others of requests on probation and quarantined ones for two
 * minutes; one that was reminded of what has been cleared since tells so. On a calm day nothing is sent.
 */
export class QuarantineSharing {
	private news = new Map<string, CrashRecord>()
	private gathering: NodeJS.Timeout | undefined
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly options: QuarantineSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	start(): void {
		this.timer = setInterval(() => this.remind(), REMIND_MS)
	}

	stop(): void {
		clearInterval(this.timer)
		clearTimeout(this.gathering)
	}

	/** Tells all boxes about a record of this one. */
	tell(record: CrashRecord): void {
		this.news.set(record.fingerprint, record)
		this.gathering ??= setTimeout(() => this.tellNews(), GATHER_MS)
	}

	private tellNews(): void {
		this.gathering = undefined
		const records = [...this.news.values()]
		this.news = new Map()
		this.send(records, this.options.peers())
	}

	private remind(): void {
		const { now, peers, quarantine, random } = this.options
		const newest = now() - REMIND_FOR_MS
		const records = quarantine.restricted.filter((record) => record.changedAt >= newest)
		if (records.length === 0) return
		const all = peers()
		const some = Array.from({ length: REMINDED }, () => all[Math.floor(random() * all.length)])
		this.send(
			records,
			some.filter((peer) => peer !== undefined),
		)
	}

	private send(records: readonly CrashRecord[], peers: readonly string[]): void {
		const { datagrams, now, random } = this.options
		const first = Math.floor(random() * Math.max(1, records.length - MOST_TOLD + 1))
		const told = records.slice(first, first + MOST_TOLD)
		for (let i = 0; i < told.length; i += RECORDS_PER_DATAGRAM) {
			const bytes = Buffer.from(encodeCrashes(told.slice(i, i + RECORDS_PER_DATAGRAM), now()))
			for (const peer of peers) datagrams.send(bytes, peer)
		}
	}

	private receive(bytes: Buffer): boolean {
		const { now, onHeard, quarantine } = this.options
		const records = decodeCrashes(bytes, now())
		if (!records) return false
		for (const record of quarantine.newerRecords(records)) this.tell(record)
		const changed = quarantine.merge(records)
		if (changed.length > 0) onHeard(changed)
		return true
	}
}
