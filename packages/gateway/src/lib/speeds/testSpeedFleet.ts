import { TargetRegistry, brandId, type BoxName, type TargetEntry } from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import type { DatagramHandler } from '../PeerDatagrams.js'
import { targetEntryOf } from '../testBox.js'
import { SpeedSharing } from './SpeedSharing.js'

const DATAGRAM_LATENCY_MS = 1
/** Fleet size up to which all boxes send to each other. */
const MAX_FULL_MESH_BOXES = 13
/** Two for each of three zones. */
const HUBS = 6
const EXPECTED_MS = 100
const WORK = { inputTokens: 3_220, maxOutputTokens: 1, parts: [] }

/** Boxes in virtual time that share the speeds of targets. */
export class SpeedFleet {
	readonly targets: readonly TargetEntry[]
	readonly registries: readonly TargetRegistry[]
	readonly sharings: readonly SpeedSharing[]
	/** Bytes sent and received by each box, and the size of the largest datagram. */
	readonly sentBytes: number[]
	readonly receivedBytes: number[]
	largestDatagram = 0
	private readonly handlers: DatagramHandler[] = []
	private isCut = false

	constructor(
		private readonly boxCount: number,
		targetCount: number,
	) {
		this.targets = Array.from({ length: targetCount }, (_, i) =>
			targetEntryOf(`i-${String(i).padStart(10, '0')}`, `10.0.0.1:${i + 1}`),
		)
		this.registries = Array.from({ length: boxCount }, () => {
			const registry = new TargetRegistry()
			registry.replace(this.targets, 0)
			return registry
		})
		this.sentBytes = this.registries.map(() => 0)
		this.receivedBytes = this.registries.map(() => 0)
		this.sharings = this.registries.map((_, box) => this.createSharing(box))
	}

	start(boxes: readonly number[] = this.registries.map((_, box) => box)): void {
		for (const box of boxes) this.sharings[box]?.start()
	}

	stop(): void {
		for (const sharing of this.sharings) sharing.stop()
	}

	/** Loses all datagrams until called with false. */
	cut(isCut: boolean): void {
		this.isCut = isCut
	}

	/** A request at a box is answered by a target of the given factors. */
	answer(
		box: number,
		target: TargetEntry,
		lasting: number,
		current: number | undefined,
		now: number,
	): void {
		const registry = this.registries[box]!
		const cost = { ms: 0, expectedMs: EXPECTED_MS, prefillTokens: 0 }
		const placement = { target, cost, candidates: 1, loadAgeMs: 0 }
		const sentAt = now - EXPECTED_MS * lasting * (current ?? 1)
		const handle = registry.beginAttempt(placement, WORK, sentAt)
		handle.noteByte(now)
		const load = { running: 0, waiting: 0, slots: 8 }
		handle.noteLoad(current === undefined ? load : { ...load, currentSlowdown: current }, now)
		handle.end('good', now)
	}

	/** The lasting factor of a target at a box; undefined if it does not know the target's speed. */
	lastingAt(box: number, target: TargetEntry, now: number): number | undefined {
		const rows = this.registries[box]?.speeds.slowest(this.targets.length, now)
		return rows?.find((row) => row.target === target.name)?.lasting
	}

	private createSharing(box: number): SpeedSharing {
		const isLarge = this.boxCount > MAX_FULL_MESH_BOXES
		const isHub = isLarge && box < HUBS
		const receivers = isLarge ? HUBS : this.boxCount
		const peers =
			isLarge && !isHub
				? [addressOf(box % HUBS)]
				: Array.from({ length: receivers }, (_, i) => i)
						.filter((i) => i !== box)
						.map(addressOf)
		return new SpeedSharing({
			box: brandId<BoxName>(`edge-zone-box-${box}`),
			address: addressOf(box),
			registry: this.registries[box]!,
			datagrams: {
				onMessage: (handler) => (this.handlers[box] = handler),
				send: (bytes, peer) => this.deliver(box, bytes, Number(peer.split(':')[1]) - 1),
			},
			peers: () => peers,
			isHub: () => isHub,
			metrics: new Metrics(),
			now: () => Date.now(),
		})
	}

	private deliver(from: number, bytes: Buffer, to: number): void {
		this.sentBytes[from]! += bytes.length
		this.largestDatagram = Math.max(this.largestDatagram, bytes.length)
		if (this.isCut) return
		setTimeout(() => {
			this.receivedBytes[to]! += bytes.length
			this.handlers[to]?.(bytes)
		}, DATAGRAM_LATENCY_MS)
	}
}

function addressOf(box: number): string {
	return `10.0.0.2:${box + 1}`
}
