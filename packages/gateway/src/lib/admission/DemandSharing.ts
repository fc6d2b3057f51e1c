import type { BoxName } from '@stallwing/core'
import type { PeerDatagrams } from '../PeerDatagrams.js'
import { decodeDemands, encodeDemands } from './demandCodec.js'
import type { QueueingGate } from './QueueingGate.js'

export interface DemandSharingOptions {
	readonly box: BoxName
	readonly gate: Pick<QueueingGate, 'contendedDemands' | 'notePeerDemand'>
	readonly datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'>
	/** Addresses of all other boxes. */
	readonly peers: () => readonly string[]
}

/**
 * Interval of the reports, in ms: the shares follow the demand within a second. Larger fleets send less often, so that a box
 * receives about 400 reports a second at most.
 */
const MIN_INTERVAL_MS = 400
const INTERVAL_PER_BOX_MS = 2.5
const MAX_INTERVAL_MS = 900
/**
 * Time after the last waiting request for which the demand is reported, in ms, so that the others learn that this box
 * needs less.
 */
const REPORT_AFTER_MS = 3_000

/**
 * Tells the other boxes what this box needs of the places of a contended service, so that each box can compute its share.
 * Nothing is sent while no request waits.
 */
export class DemandSharing {
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly options: DemandSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	start(): void {
		this.schedule()
	}

	stop(): void {
		clearTimeout(this.timer)
	}

	private schedule(): void {
		const intervalMs = INTERVAL_PER_BOX_MS * this.options.peers().length
		const boundedMs = Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, intervalMs))
		this.timer = setTimeout(() => {
			this.send()
			this.schedule()
		}, boundedMs)
	}

	private send(): void {
		const { box, datagrams, gate, peers } = this.options
		const demands = gate.contendedDemands(REPORT_AFTER_MS)
		if (demands.size === 0) return
		const bytes = Buffer.from(encodeDemands(box, demands))
		for (const peer of peers()) datagrams.send(bytes, peer)
	}

	private receive(bytes: Buffer): boolean {
		const reports = decodeDemands(bytes)
		if (!reports) return false
		for (const { box, service, demand } of reports)
			this.options.gate.notePeerDemand(box, service, demand)
		return true
	}
}
