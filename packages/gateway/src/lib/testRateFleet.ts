import {
	TargetBoard,
	brandId,
	mostInWindow,
	type BoxName,
	type LogEvent,
	type TargetEntry,
} from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import type { DatagramHandler } from './PeerDatagrams.js'
import { RateSharing } from './RateSharing.js'
import { entryOf } from './testBox.js'

/** The only target: it names its rate in each answer. */
export const TARGET: TargetEntry = { ...entryOf('t', 'unused:1'), bornAt: 1_800_000_000_000 }
/** Time until a datagram arrives, in ms. */
const DATAGRAM_MS = 1
/** Time from the choice of the target until the head of its answer is read, in ms. */
const HEAD_MS = 40

/** What a {@link RateFleet} is made of. */
export interface RateFleetOptions {
	readonly boxes: number
	/** What the target names in an answer that it begins now; undefined: nothing. */
	readonly named: () => number | undefined
	/** False: datagrams between these boxes are lost. */
	readonly areInTouch?: (from: number, to: number) => boolean
}

/** Boxes in virtual time that share what one target says of its rate. */
export class RateFleet {
	/** When requests reached the target, and from which box. */
	readonly requests: { readonly at: number; readonly box: number }[] = []
	/** Datagrams, and their bytes, that boxes sent. */
	datagrams = 0
	bytes = 0
	/** Lines about what boxes were told by others. */
	readonly logged: LogEvent[] = []
	private readonly boards: readonly TargetBoard[]
	private readonly sharings: readonly RateSharing[]
	private readonly handlers: DatagramHandler[] = []
	private underWay: { readonly bytes: Buffer; readonly peer: number }[] = []
	private arrival: NodeJS.Timeout | undefined

	constructor(private readonly options: RateFleetOptions) {
		const names = Array.from({ length: options.boxes }, (_, i) => brandId<BoxName>(`box-${i}`))
		this.boards = names.map((self) => this.makeBoard(self, names))
		this.sharings = this.boards.map((board, self) => this.makeSharing(board, self))
	}

	stop(): void {
		for (const sharing of this.sharings) sharing.stop()
	}

	/** A request arrives at a box. True where the target gets it. */
	ask(box: number): boolean {
		const board = this.boards[box]
		const place = board?.choose(
			{
				service: TARGET.service,
				zone: TARGET.zone,
				work: undefined,
				tried: new Set(),
				isFull: () => false,
				mayRunIn: () => true,
				isConnected: () => true,
			},
			Date.now(),
		)
		if (!board || !place) return false
		const handle = board.begin(place, undefined, Date.now())
		const named = this.options.named()
		this.requests.push({ at: Date.now(), box })
		setTimeout(() => {
			const isNews = handle.noteRate(named, Date.now())
			if (named !== undefined || isNews) this.sharings[box]?.note(TARGET, named, isNews)
			handle.end('good', Date.now())
		}, HEAD_MS)
		return true
	}

	/** Boxes that may send to the target without a rate, as to any other. */
	get free(): number {
		const { service } = TARGET
		return this.boards.filter((board) => {
			const isNamed = board.noticedTargets(Date.now()).some(({ rate }) => rate !== undefined)
			return !isNamed && board.closedCause(service, Date.now()) === undefined
		}).length
	}

	/** The most requests that reached the target in a time after a moment, in ms. */
	mostIn(windowMs: number, from = 0): number {
		const times = this.requests.map(({ at }) => at).filter((at) => at >= from)
		return mostInWindow(times, windowMs)
	}

	private arrive(): void {
		const arriving = this.underWay
		this.underWay = []
		this.arrival = undefined
		for (const { bytes, peer } of arriving) this.handlers[peer]?.(bytes)
	}

	private makeBoard(self: BoxName, boxes: readonly BoxName[]): TargetBoard {
		const coldLimits = { overrun: 1.5, tolerance: 5 }
		const rates = { self, boxes: () => boxes, isSettled: () => true, coldLimits }
		const board = new TargetBoard({ rates })
		board.replace([TARGET], Date.now())
		return board
	}

	private makeSharing(board: TargetBoard, self: number): RateSharing {
		const { areInTouch = () => true } = this.options
		return new RateSharing({
			board,
			datagrams: {
				onMessage: (handler) => (this.handlers[self] = handler),
				send: (bytes, peer) => {
					this.datagrams++
					this.bytes += bytes.length
					if (areInTouch(self, Number(peer))) this.underWay.push({ bytes, peer: Number(peer) })
					this.arrival ??= setTimeout(() => this.arrive(), DATAGRAM_MS)
				},
			},
			peers: () => this.boards.flatMap((_, box) => (box === self ? [] : [String(box)])),
			metrics: new Metrics(),
			now: () => Date.now(),
			log: (event) => this.logged.push(event),
		})
	}
}
