import {
	incarnationOf,
	type LogEvent,
	type TargetRegistry,
	type TargetIdentity,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import { decodeLeaving, encodeLeaving } from './leavingCodec.js'
import type { PeerDatagrams } from './PeerDatagrams.js'

/** What a {@link LeavingSharing} works with. */
export interface LeavingSharingOptions {
	readonly registry: TargetRegistry
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	/** Another box told that a target leaves, which is news to this one. */
	readonly onHeard: (target: TargetIdentity) => void
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/**
 * Time in which the list of targets brings the same word where the store answers, in ms: a change of it reaches boxes
 * in 10 to 80 ms. Only what the list does not tell by then is told to other boxes.
 */
const LIST_MS = 150
/** Targets of one datagram: about 1,000 bytes, which links pass whole. */
const TARGETS_PER_DATAGRAM = 20

/**
 * Tells other boxes which targets leave, where only the targets' own answers say so: the store is away, or its list is
 * late. A box hears it from an answer of its own only when it has sent one more request there, and what it sends just
 * before the target ends breaks off. Lost datagrams cost no more than that, so nothing is told twice, and boxes do not
 * pass on what they were told. On a calm day nothing is sent.
 */
export class LeavingSharing {
	private news: TargetIdentity[] = []
	private waiting: NodeJS.Timeout | undefined

	constructor(private readonly options: LeavingSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	stop(): void {
		clearTimeout(this.waiting)
	}

	/** A target told this box that it leaves. */
	tell({ name, bornAt }: TargetIdentity): void {
		this.news.push({ name, bornAt })
		this.waiting ??= setTimeout(() => this.tellNews(), LIST_MS)
	}

	private tellNews(): void {
		const { registry: board, datagrams, peers } = this.options
		this.waiting = undefined
		const unlisted = this.news.filter((target) => board.isListedAsReady(target))
		this.news = []
		for (let i = 0; i < unlisted.length; i += TARGETS_PER_DATAGRAM) {
			const bytes = Buffer.from(encodeLeaving(unlisted.slice(i, i + TARGETS_PER_DATAGRAM)))
			for (const peer of peers()) datagrams.send(bytes, peer)
		}
	}

	private receive(bytes: Buffer): boolean {
		const targets = decodeLeaving(bytes)
		if (!targets) return false
		for (const target of targets) this.hear(target)
		return true
	}

	private hear(target: TargetIdentity): void {
		const { registry: board, log, metrics, now, onHeard } = this.options
		if (!board.isListedAsReady(target) || !board.noteLeaving(target, now())) return
		metrics.count('stallwing_target_notices_total', 'event="target-heard-leaving"')
		log({
			name: 'target-heard-leaving',
			fields: { target: target.name, life: incarnationOf(target) },
		})
		onHeard(target)
	}
}
