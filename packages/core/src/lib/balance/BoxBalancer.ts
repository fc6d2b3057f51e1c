import type { BoxName, ZoneName } from '../ids.js'
import type { Millis } from '../units.js'
import type { BalanceDecision, BoxLoad, PeerBoxLoad } from './BoxLoad.js'

/** What a box knows when it decides. @public */
export interface BalanceInput {
	readonly own: BoxLoad
	readonly peers: readonly PeerBoxLoad[]
	/** Boxes of the own zone, including this one. */
	readonly zoneSize: number
	readonly now: Millis
}

const HIGH_USE = 0.75
const TARGET_USE = 0.5
const SUSTAINED_MS: Millis = 1_000
const OUT_MS: Millis = 3_200
const CLOSE_AFTER_MS: Millis = 2_200
const SETTLE_MS: Millis = 32_000

/** Decides when this box moves callers to other boxes. @public */
export class BoxBalancer {
	private overloadedSince: Millis | undefined
	private leftAt: Millis = Number.NEGATIVE_INFINITY

	constructor(private readonly options: { readonly box: BoxName; readonly zone: ZoneName }) {}

	/** Called four times a second. */
	decide({ own, peers, zoneSize, now }: BalanceInput): BalanceDecision {
		const isOverloaded = own.linkUse > HIGH_USE || own.loopDelayMs > 100
		this.overloadedSince = isOverloaded ? (this.overloadedSince ?? now) : undefined
		const outMs = now - this.leftAt
		if (outMs < OUT_MS) {
			const isClosing = outMs >= CLOSE_AFTER_MS && own.linkUse > TARGET_USE
			const closeShare = isClosing ? 1 - TARGET_USE / own.linkUse : 0
			return { isReady: false, closeShare, reason: 'moving-callers' }
		}
		if (outMs < SETTLE_MS) return { isReady: true, closeShare: 0, reason: 'settling' }
		if (this.overloadedSince === undefined || now - this.overloadedSince < SUSTAINED_MS)
			return { isReady: true, closeShare: 0, reason: 'within-limits' }
		const others = peers.filter(({ box, zone }) => zone === this.options.zone && box !== own.box)
		if (others.length * 2 < zoneSize - 1 || others.length === 0)
			return { isReady: true, closeShare: 0, reason: 'no-fresh-reports' }
		this.leftAt = now
		return { isReady: false, closeShare: 0, reason: 'moving-callers' }
	}
}
