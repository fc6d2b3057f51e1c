import {
	incarnationOf,
	type LogEvent,
	type TargetRegistry,
	type TargetIdentity,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import { decodeLeavingTargets, encodeLeavingTargets } from './leavingTargetCodec.js'
import type { PeerDatagrams } from './PeerDatagrams.js'

export interface LeavingTargetSharingOptions {
	readonly registry: TargetRegistry
	readonly datagrams: PeerDatagrams
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
	/** Called when another box reports a leaving target that this box did not know to be leaving. */
	readonly onTargetLeaving: (target: TargetIdentity) => void
	readonly metrics: Metrics
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/**
 * Time to wait for the target list to report the same change, in ms. With an available store, a change reaches all
 * boxes in 10 to 80 ms. Only targets that the list still shows as ready after this time are shared.
 */
const LIST_UPDATE_WAIT_MS = 150
/** About 1,000 bytes, so that datagrams are not fragmented. */
const MAX_TARGETS_PER_DATAGRAM = 20

/**
 * Tells other boxes which targets are leaving while the target list does not show it, because the store is
 * unavailable or the list is late. Without this, each box would learn it only from the target's response to its own
 * request, and requests sent shortly before the target stops would be interrupted. A lost datagram has the same
 * effect for one box, so datagrams are not repeated or forwarded. Nothing is sent while no target is leaving.
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

	/** Shares a target whose response to this box said that it is leaving. */
	share({ name, bornAt }: TargetIdentity): void {
		this.pending.push({ name, bornAt })
		this.sendTimer ??= setTimeout(() => this.sendPending(), LIST_UPDATE_WAIT_MS)
	}

	private sendPending(): void {
		const { registry, datagrams, peers } = this.options
		this.sendTimer = undefined
		const listedAsReady = this.pending.filter((target) => registry.isListedAsReady(target))
		this.pending = []
		for (let i = 0; i < listedAsReady.length; i += MAX_TARGETS_PER_DATAGRAM) {
			const bytes = Buffer.from(
				encodeLeavingTargets(listedAsReady.slice(i, i + MAX_TARGETS_PER_DATAGRAM)),
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
		const { registry, log, metrics, now, onTargetLeaving } = this.options
		if (!registry.isListedAsReady(target) || !registry.noteLeaving(target, now())) return
		metrics.count('stallwing_target_notices_total', 'event="target-heard-leaving"')
		log({
			name: 'target-heard-leaving',
			fields: { target: target.name, life: incarnationOf(target) },
		})
		onTargetLeaving(target)
	}
}
