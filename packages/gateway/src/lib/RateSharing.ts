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

export interface RateSharingOptions {
	readonly registry: TargetRegistry
	readonly datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'>
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	readonly metrics: Metrics
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Time over which rates are batched into one datagram, in ms. */
const BATCH_WINDOW_MS = 5
/**
 * Interval at which an unchanged rate is sent again, by the first box that receives it from the target, in ms. A box
 * that may not send requests to the target has no other way to learn the rate. With 499 boxes this costs the fleet
 * 15 KB a second for each target that advertises a rate.
 */
const RESEND_INTERVAL_MS = 2_000
/** About 1,000 bytes, so that datagrams are not fragmented. */
const MAX_RATES_PER_DATAGRAM = 15
/** Incarnations whose last share time is kept; the oldest are evicted first. */
const MAX_TRACKED_INCARNATIONS = 5_000

/**
 * Tells other boxes the request rates that targets advertise for all boxes together. Other boxes then need not
 * send a request to learn the rate, and boxes that may not send learn when it no longer applies. A lost datagram
 * costs one request that the target answers with its rate, or a few seconds without that target. Only rates that
 * this box received from the target itself are shared. Nothing is sent while no target advertises a rate.
 */
export class RateSharing {
	private pending: RateReport[] = []
	private sendTimer: NodeJS.Timeout | undefined
	/** Times at which each current rate was last shared, by this box or another. */
	private readonly lastSharedAt = new Map<TargetIncarnation, number>()

	constructor(private readonly options: RateSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	stop(): void {
		clearTimeout(this.sendTimer)
	}

	/**
	 * Shares the rate that a target advertised to this box. `perSecond` is undefined if the target no longer advertises
	 * one. An unchanged rate is shared at most once in {@link RESEND_INTERVAL_MS}.
	 */
	share(target: TargetIdentity, perSecond: number | undefined, hasChanged: boolean): void {
		const now = this.options.now()
		const incarnation = incarnationOf(target)
		if (
			!hasChanged &&
			now - (this.lastSharedAt.get(incarnation) ?? Number.NEGATIVE_INFINITY) < RESEND_INTERVAL_MS
		)
			return
		this.noteShared(incarnation, perSecond, now)
		this.pending.push({ name: target.name, bornAt: target.bornAt, perSecond, reportedAt: now })
		this.sendTimer ??= setTimeout(() => this.sendPending(), BATCH_WINDOW_MS)
	}

	private noteShared(
		incarnation: TargetIncarnation,
		perSecond: number | undefined,
		now: number,
	): void {
		this.lastSharedAt.delete(incarnation)
		if (perSecond === undefined) return
		this.lastSharedAt.set(incarnation, now)
		const [oldest] = this.lastSharedAt.keys()
		if (oldest !== undefined && this.lastSharedAt.size > MAX_TRACKED_INCARNATIONS)
			this.lastSharedAt.delete(oldest)
	}

	private sendPending(): void {
		const { datagrams, now, peers } = this.options
		this.sendTimer = undefined
		const { pending } = this
		this.pending = []
		for (let i = 0; i < pending.length; i += MAX_RATES_PER_DATAGRAM) {
			const bytes = Buffer.from(encodeRates(pending.slice(i, i + MAX_RATES_PER_DATAGRAM), now()))
			for (const peer of peers()) datagrams.send(bytes, peer)
		}
	}

	private receive(bytes: Buffer): boolean {
		const reports = decodeRates(bytes, this.options.now())
		if (!reports) return false
		for (const report of reports) this.applyReceived(report)
		return true
	}

	private applyReceived(report: RateReport): void {
		const { registry, log, metrics, now } = this.options
		const { perSecond, reportedAt } = report
		this.noteShared(incarnationOf(report), perSecond, now())
		if (!registry.noteRate(report, perSecond, reportedAt)) return
		metrics.count('stallwing_target_notices_total', 'event="target-heard-rate"')
		const fields = {
			target: report.name,
			life: incarnationOf(report),
			perSecond: perSecond ?? -1,
			ageMs: Math.round(now() - reportedAt),
		}
		log({ name: 'target-heard-rate', fields })
	}
}
