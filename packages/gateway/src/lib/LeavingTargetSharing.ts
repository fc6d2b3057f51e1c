import {
	incarnationOf,
	type LogEvent,
	type TargetRegistry,
	type TargetIdentity,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import { decodeLeavingTargets, encodeLeavingTargets } from './leavingTargetCodec.js'
import type { PeerDatagrams } from './PeerDatagrams.js'

/** What a {@link LeavingTargetSharing} works with. */
export interface LeavingTargetSharingOptions {
	readonly registry: TargetRegistry
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	/** Another box told that a target leaves, which is news to this one. */
	readonly onTargetLeaving: (target: TargetIdentity) => void
	readonly metrics: Metrics
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/**
 * Time in which the list of targets brings the same word where the store answers, in ms: a change of it reaches boxes
 * in 10 to 80 ms. Only what the list does not tell by then is told to other boxes.
 */
const LIST_UPDATE_WAIT_MS = 150
/** Targets of one datagram: about 1,000 bytes, which links pass whole. */
const MAX_TARGETS_PER_DATAGRAM = 20

/**
 * Tells other boxes which targets leave, where only the targets' own answers say so: the store is away, or its list is
 * late. A box hears it from an answer of its own only when it has sent one more request there, and what it sends just
 * before the target ends breaks off. Lost datagrams cost no more than that, so nothing is told twice, and boxes do not
 * pass on what they were told. On a calm day nothing is sent.
 */
export class LeavingTargetSharing {
	private pending: TargetIdentity[] = []
	private sendTimer: NodeJS.Timeout | undefined

	constructor(private readonly options: LeavingTargetSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	stop(): void {
		clearTimeout(this.sendTimer)
	}

	/** A target told this box that it leaves. */
	share({ name, bornAt }: TargetIdentity): void {
		this.pending.push({ name, bornAt })
		this.sendTimer ??= setTimeout(() => this.sendPending(), LIST_UPDATE_WAIT_MS)
	}

	private sendPending(): void {
		const { registry: board, datagrams, peers } = this.options
		this.sendTimer = undefined
		const unlisted = this.pending.filter((target) => board.isListedAsReady(target))
		this.pending = []
		for (let i = 0; i < unlisted.length; i += MAX_TARGETS_PER_DATAGRAM) {
			const bytes = Buffer.from(
				encodeLeavingTargets(unlisted.slice(i, i + MAX_TARGETS_PER_DATAGRAM)),
			)
			for (const peer of peers()) datagrams.send(bytes, peer)
		}
	}

	private receive(bytes: Buffer): boolean {
		const targets = decodeLeavingTargets(bytes)
		if (!targets) return false
		for (const target of targets) this.applyReceived(target)
		return true
	}

	private applyReceived(target: TargetIdentity): void {
		const { registry: board, log, metrics, now, onTargetLeaving: onHeard } = this.options
		if (!board.isListedAsReady(target) || !board.noteLeaving(target, now())) return
		metrics.count('stallwing_target_notices_total', 'event="target-heard-leaving"')
		log({
			name: 'target-heard-leaving',
			fields: { target: target.name, life: incarnationOf(target) },
		})
		onHeard(target)
	}
}
