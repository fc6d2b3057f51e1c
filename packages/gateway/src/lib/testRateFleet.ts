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

/** The only target: it names its rate in each answer. */
export const TARGET: TargetEntry = { ...targetEntryOf('t', 'unused:1'), bornAt: 1_800_000_000_000 }
/** Time until a datagram arrives, in ms. */
const DATAGRAM_LATENCY_MS = 1
/** Time from the choice of the target until the head of its answer is read, in ms. */
const RESPONSE_HEAD_LATENCY_MS = 40

/** What a {@link RateFleet} is made of. */
export interface RateFleetOptions {
	readonly boxCount: number
	/** What the target names in an answer that it begins now; undefined: nothing. */
	readonly advertisedRate: () => number | undefined
	/** False: datagrams between these boxes are lost. */
	readonly areConnected?: (from: number, to: number) => boolean
}

/** Boxes in virtual time that share what one target says of its rate. */
export class RateFleet {
	/** When requests reached the target, and from which box. */
	readonly requests: { readonly at: number; readonly box: number }[] = []
	/** Datagrams, and their bytes, that boxes sent. */
	datagramCount = 0
	byteCount = 0
	/** Lines about what boxes were told by others. */
	readonly logEvents: LogEvent[] = []
	private readonly boards: readonly TargetRegistry[]
	private readonly sharings: readonly RateSharing[]
	private readonly handlers: DatagramHandler[] = []
	private datagramsInFlight: { readonly bytes: Buffer; readonly peer: number }[] = []
	private deliveryTimer: NodeJS.Timeout | undefined

	constructor(private readonly options: RateFleetOptions) {
		const names = Array.from({ length: options.boxCount }, (_, i) => brandId<BoxName>(`box-${i}`))
		this.boards = names.map((self) => this.makeBoard(self, names))
		this.sharings = this.boards.map((board, self) => this.makeSharing(board, self))
	}

	stop(): void {
		for (const sharing of this.sharings) sharing.stop()
	}

	/** A request arrives at a box. True where the target gets it. */
	sendRequest(box: number): boolean {
		const board = this.boards[box]
		const place = board?.choose(
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
		if (!board || !place) return false
		const handle = board.beginAttempt(place, undefined, Date.now())
		const named = this.options.advertisedRate()
		this.requests.push({ at: Date.now(), box })
		setTimeout(() => {
			const isNews = handle.noteRate(named, Date.now())
			if (named !== undefined || isNews) this.sharings[box]?.note(TARGET, named, isNews)
			handle.end('good', Date.now())
		}, RESPONSE_HEAD_LATENCY_MS)
		return true
	}

	/** Boxes that may send to the target without a rate, as to any other. */
	get unlimitedBoxCount(): number {
		const { service } = TARGET
		return this.boards.filter((board) => {
			const isNamed = board.noticeStatuses(Date.now()).some(({ rate }) => rate !== undefined)
			return !isNamed && board.closedCause(service, Date.now()) === undefined
		}).length
	}

	/** The most requests that reached the target in a time after a moment, in ms. */
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

	private makeBoard(self: BoxName, boxes: readonly BoxName[]): TargetRegistry {
		const coldLimits = { overrun: 1.5, tolerance: 5 }
		const rates = { self, boxes: () => boxes, isSettled: () => true, coldLimits }
		const board = new TargetRegistry({ rateLimits: rates })
		board.replace([TARGET], Date.now())
		return board
	}

	private makeSharing(board: TargetRegistry, self: number): RateSharing {
		const { areConnected: areInTouch = () => true } = this.options
		return new RateSharing({
			registry: board,
			datagrams: {
				onMessage: (handler) => (this.handlers[self] = handler),
				send: (bytes, peer) => {
					this.datagramCount++
					this.byteCount += bytes.length
					if (areInTouch(self, Number(peer)))
						this.datagramsInFlight.push({ bytes, peer: Number(peer) })
					this.deliveryTimer ??= setTimeout(() => this.deliverDatagrams(), DATAGRAM_LATENCY_MS)
				},
			},
			peers: () => this.boards.flatMap((_, box) => (box === self ? [] : [String(box)])),
			metrics: new Metrics(),
			now: () => Date.now(),
			log: (event) => this.logEvents.push(event),
		})
	}
}
