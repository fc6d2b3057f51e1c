import {
	TargetRegistry,
	brandId,
	maxCountInWindow,
	type BoxName,
	type LogEvent,
	type TargetEntry,
} from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import type { DatagramHandler } from './PeerDatagrams.js'
import { RateSharing } from './RateSharing.js'
import { targetEntryOf } from './testBox.js'

/** The only target, which states its rate limit in each response. */
export const TARGET: TargetEntry = { ...targetEntryOf('t', 'unused:1'), bornAt: 1_800_000_000_000 }
const DATAGRAM_LATENCY_MS = 1
/** Time from the choice of the target until its response head arrives, in ms. */
const RESPONSE_HEAD_LATENCY_MS = 40

/** Options of a {@link RateFleet}. */
export interface RateFleetOptions {
	readonly boxCount: number
	/** Rate limit stated in a response that starts now; undefined if none. */
	readonly advertisedRate: () => number | undefined
	/** False if datagrams between the two boxes are lost. */
	readonly areConnected?: (from: number, to: number) => boolean
}

/** Boxes in virtual time that share the rate limit of one target. */
export class RateFleet {
	/** Arrivals of requests at the target. */
	readonly requests: { readonly at: number; readonly box: number }[] = []
	/** Datagrams sent by all boxes, and their bytes. */
	datagramCount = 0
	byteCount = 0
	/** Log events about rate limits received from other boxes. */
	readonly logEvents: LogEvent[] = []
	private readonly registries: readonly TargetRegistry[]
	private readonly sharings: readonly RateSharing[]
	private readonly handlers: DatagramHandler[] = []
	private datagramsInFlight: { readonly bytes: Buffer; readonly peer: number }[] = []
	private deliveryTimer: NodeJS.Timeout | undefined

	constructor(private readonly options: RateFleetOptions) {
		const names = Array.from({ length: options.boxCount }, (_, i) => brandId<BoxName>(`box-${i}`))
		this.registries = names.map((self) => this.createRegistry(self, names))
		this.sharings = this.registries.map((registry, self) => this.makeSharing(registry, self))
	}

	stop(): void {
		for (const sharing of this.sharings) sharing.stop()
	}

	/** Handles a request at a box. Returns true if it is sent to the target. */
	sendRequest(box: number): boolean {
		const registry = this.registries[box]
		const placement = registry?.choose(
			{
				service: TARGET.service,
				zone: TARGET.zone,
				work: undefined,
				tried: new Set(),
				isFull: () => false,
				mayRunIn: () => true,
				hasIdleConnection: () => true,
			},
			Date.now(),
		)
		if (!registry || !placement) return false
		const handle = registry.beginAttempt(placement, undefined, Date.now())
		const rate = this.options.advertisedRate()
		this.requests.push({ at: Date.now(), box })
		setTimeout(() => {
			const hasChanged = handle.noteRate(rate, Date.now())
			if (rate !== undefined || hasChanged) this.sharings[box]?.share(TARGET, rate, hasChanged)
			handle.end('good', Date.now())
		}, RESPONSE_HEAD_LATENCY_MS)
		return true
	}

	/** Number of boxes that may send to the target without a rate limit. */
	get unlimitedBoxCount(): number {
		const { service } = TARGET
		return this.registries.filter((registry) => {
			const isLimited = registry.noticeStatuses(Date.now()).some(({ rate }) => rate !== undefined)
			return !isLimited && registry.closedCause(service, Date.now()) === undefined
		}).length
	}

	/** Maximum number of requests in a window of `windowMs`, from the time `from` on. */
	maxRequestsIn(windowMs: number, from = 0): number {
		const times = this.requests.map(({ at }) => at).filter((at) => at >= from)
		return maxCountInWindow(times, windowMs)
	}

	private deliverDatagrams(): void {
		const arriving = this.datagramsInFlight
		this.datagramsInFlight = []
		this.deliveryTimer = undefined
		for (const { bytes, peer } of arriving) this.handlers[peer]?.(bytes)
	}

	private createRegistry(self: BoxName, boxes: readonly BoxName[]): TargetRegistry {
		const coldLimits = { overrun: 1.5, tolerance: 5 }
		const rates = { self, boxes: () => boxes, isSettled: () => true, coldLimits }
		const registry = new TargetRegistry({ rateLimits: rates })
		registry.replace([TARGET], Date.now())
		return registry
	}

	private makeSharing(registry: TargetRegistry, self: number): RateSharing {
		const { areConnected = () => true } = this.options
		return new RateSharing({
			registry,
			datagrams: {
				onMessage: (handler) => (this.handlers[self] = handler),
				send: (bytes, peer) => {
					this.datagramCount++
					this.byteCount += bytes.length
					if (areConnected(self, Number(peer)))
						this.datagramsInFlight.push({ bytes, peer: Number(peer) })
					this.deliveryTimer ??= setTimeout(() => this.deliverDatagrams(), DATAGRAM_LATENCY_MS)
				},
			},
			peers: () => this.registries.flatMap((_, box) => (box === self ? [] : [String(box)])),
			metrics: new Metrics(),
			now: () => Date.now(),
			log: (event) => this.logEvents.push(event),
		})
	}
}
