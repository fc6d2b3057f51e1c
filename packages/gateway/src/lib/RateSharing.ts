import {
	incarnationOf,
	type LogEvent,
	type TargetRegistry,
	type TargetIncarnation,
	type TargetIdentity,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import type { PeerDatagrams } from './PeerDatagrams.js'
import { decodeRates, encodeRates, type RateReport } from './rateCodec.js'

/** What a {@link RateSharing} works with. */
export interface RateSharingOptions {
	readonly registry: TargetRegistry
	readonly datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'>
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Time in which words are gathered into one datagram, in ms. */
const BATCH_WINDOW_MS = 5
/**
 * Time after which a rate that holds is told again, by the first box that hears of it anew, in ms: a box that may not
 * send hears of it by no other way. With 499 boxes that is 15 KB a second for each target that names a rate, all
 * boxes together.
 */
const RESEND_INTERVAL_MS = 2_000
/** Rates of one datagram: about 1,000 bytes, which links pass whole. */
const MAX_RATES_PER_DATAGRAM = 15
/** Lives of targets of which it is known when they were last told; the oldest give way. */
const MAX_TRACKED_INCARNATIONS = 5_000

/**
 * Tells other boxes what targets say of the requests a second that they take from all boxes together. Told at once,
 * no other box has to send a request to learn of it; and one that may not send learns of the end of it. A lost datagram
 * costs a request, which the target answers with its word, or some seconds without that target. Only words that a
 * target said to this box are told. On a calm day nothing is sent.
 */
export class RateSharing {
	private pending: RateReport[] = []
	private sendTimer: NodeJS.Timeout | undefined
	/** When each rate that holds was last told, by this box or another. */
	private readonly lastSharedAt = new Map<TargetIncarnation, number>()

	constructor(private readonly options: RateSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	stop(): void {
		clearTimeout(this.sendTimer)
	}

	/** A target told this box its rate, or the end of it (undefined); `isNews`: another than was known. */
	share(target: TargetIdentity, perSecond: number | undefined, isNews: boolean): void {
		const now = this.options.now()
		const life = incarnationOf(target)
		if (
			!isNews &&
			now - (this.lastSharedAt.get(life) ?? Number.NEGATIVE_INFINITY) < RESEND_INTERVAL_MS
		)
			return
		this.noteShared(life, perSecond, now)
		this.pending.push({ name: target.name, bornAt: target.bornAt, perSecond, reportedAt: now })
		this.sendTimer ??= setTimeout(() => this.sendPending(), BATCH_WINDOW_MS)
	}

	private noteShared(life: TargetIncarnation, perSecond: number | undefined, now: number): void {
		this.lastSharedAt.delete(life)
		if (perSecond === undefined) return
		this.lastSharedAt.set(life, now)
		const [oldest] = this.lastSharedAt.keys()
		if (oldest !== undefined && this.lastSharedAt.size > MAX_TRACKED_INCARNATIONS)
			this.lastSharedAt.delete(oldest)
	}

	private sendPending(): void {
		const { datagrams, now, peers } = this.options
		this.sendTimer = undefined
		const { pending: news } = this
		this.pending = []
		for (let i = 0; i < news.length; i += MAX_RATES_PER_DATAGRAM) {
			const bytes = Buffer.from(encodeRates(news.slice(i, i + MAX_RATES_PER_DATAGRAM), now()))
			for (const peer of peers()) datagrams.send(bytes, peer)
		}
	}

	private receive(bytes: Buffer): boolean {
		const words = decodeRates(bytes, this.options.now())
		if (!words) return false
		for (const word of words) this.applyReceived(word)
		return true
	}

	private applyReceived(word: RateReport): void {
		const { registry: board, log, metrics, now } = this.options
		const { perSecond, reportedAt: saidAt } = word
		this.noteShared(incarnationOf(word), perSecond, now())
		if (!board.noteRate(word, perSecond, saidAt)) return
		metrics.count('stallwing_target_notices_total', 'event="target-heard-rate"')
		const fields = {
			target: word.name,
			life: incarnationOf(word),
			perSecond: perSecond ?? -1,
			ageMs: Math.round(now() - saidAt),
		}
		log({ name: 'target-heard-rate', fields })
	}
}
