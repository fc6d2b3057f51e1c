import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
	ReadProgress,
	type AnswerTurns,
	type MemoryBudget,
	type MemoryClass,
	type WaitingAnswer,
} from '@stallwing/core'
import { resetConnection } from '@stallwing/http'
import { connectionKeyOf, type SendQueues } from './readSendQueues.js'

/** State of the box that its exchanges share. */
export interface ExchangeMemoryOptions {
	readonly budget: MemoryBudget
	readonly turns: AnswerTurns<ExchangeMemory>
	/** Current time, in ms. */
	readonly now: () => number
	/** Called when bytes were released. */
	readonly onReleased: () => void
	/** Called once the exchange holds no memory any more. */
	readonly onEnded: (memory: ExchangeMemory) => void
}

/**
 * What to do with an answer that is collected:
 * - `read`: read on.
 * - `wait`: pause it until it is resumed.
 * - `end`: there is no memory for it, and too many wait already.
 */
export type CollectStep = 'read' | 'wait' | 'end'

/** What has arrived of an answer that is collected. */
export interface CollectedAnswer {
	/** Bytes of the answer so far. */
	readonly receivedBytes: number
	/** Memory that these bytes take, in bytes. */
	readonly heldBytes: number
	/** Length of the answer if the target states it, else 0. */
	readonly statedBytes: number
}

/** What a stalled caller has not read, and for how long. */
export interface Stall {
	readonly unreadBytes: number
	readonly ageMs: number
}

/** Time in which the kernel takes no byte after which the acknowledged bytes are read, in ms. */
const SUSPECT_MS = 500
/** Heap that an exchange takes besides its headers: its objects, closures, timers and two connections, in bytes. */
const EXCHANGE_BYTES = 24_000
/** Answers up to this size are read without waiting; it is the size of one read from a socket. */
const LARGE_ANSWER_BYTES = 65_536
/** Read from the target before reading stops: one read from the socket, partly passed on. */
const READ_AHEAD_BYTES = 65_536
/** Part of an answer of unknown length that is reserved at a time. */
const RESERVED_STEP_BYTES = 1_000_000
/** Headers are held as received and as forwarded. */
const HEADER_COPIES = 2

/** The memory that one exchange holds, and how its caller reads the answer. */
export class ExchangeMemory implements WaitingAnswer {
	private readonly held: Record<MemoryClass, number> = {
		heads: 0,
		bodies: 0,
		retries: 0,
		answers: 0,
	}
	/** Progress of the bytes that the kernel takes; set while an answer is being sent. */
	private taken: ReadProgress | undefined
	/** Progress of the bytes that the caller acknowledges; set while the exchange is suspect. */
	private acknowledged: ReadProgress | undefined
	/** Key of the connection of the caller; set once the exchange is suspect. */
	private connectionKey: string | undefined
	private pausedAt: number | undefined
	private onResume: (() => void) | undefined
	private openAttempts = 0
	private hasCallerLeft = false
	/** Bytes of the answer that are held, without what is read ahead. */
	private answerBytes = 0
	private collectedBytes = 0
	/** Length of the answer that is collected; 0 if not known. */
	private statedBytes = 0
	/** Bytes up to which the answer may be collected without waiting. */
	private reservedBytes = 0
	/** Bytes of a complete answer that are not passed to the connection yet. */
	private unsentBytes = 0
	/** The answer is forwarded while it is received. */
	isStream = false

	constructor(
		private readonly options: ExchangeMemoryOptions,
		message: IncomingMessage,
		private readonly response: ServerResponse,
	) {
		this.hold('heads', EXCHANGE_BYTES + HEADER_COPIES * headerBytes(message))
		response.once('close', () => this.handleClose())
	}

	/** True once the response is complete or the caller has disconnected: what arrives for it is of no use. */
	get isCallerGone(): boolean {
		return this.hasCallerLeft
	}

	/** Time for which the exchange has been paused, in ms; undefined if it is not. */
	pausedMs(now: number): number | undefined {
		return this.pausedAt === undefined ? undefined : now - this.pausedAt
	}

	/** Holds `bytes` for the body of the request. */
	holdBody(bytes: number): void {
		this.hold('bodies', bytes)
	}

	/** True if a body of which the length is not stated may grow to `bytes`. */
	mayGrowBody(bytes: number): boolean {
		return this.options.budget.mayGrow(bytes)
	}

	/** Called when an attempt begins: the body is then kept only for a retry. */
	beginAttempt(): void {
		this.openAttempts++
		const { bodies, retries } = this.held
		// In this order, because a release lets waiting answers reserve memory.
		this.hold('retries', retries + bodies)
		this.hold('bodies', 0)
	}

	/** Called when an attempt has ended. `isAnswerKept`: the answer that it collected will be sent. */
	endAttempt(isAnswerKept: boolean): void {
		this.openAttempts--
		if (!isAnswerKept) this.dropAnswer()
		if (this.hasCallerLeft && this.openAttempts === 0) this.release()
	}

	/** Holds the memory of an answer that is collected until it is complete. */
	collect(answer: CollectedAnswer, onResume: () => void): CollectStep {
		if (this.hasCallerLeft) return 'read'
		const { heldBytes, receivedBytes, statedBytes } = answer
		this.collectedBytes = heldBytes
		this.statedBytes = statedBytes
		this.holdAnswer(Math.max(heldBytes, this.reservedBytes))
		const isSmall = Math.max(heldBytes, statedBytes) <= LARGE_ANSWER_BYTES
		const isComplete = statedBytes > 0 && receivedBytes >= statedBytes
		const { budget, turns } = this.options
		if (isSmall || isComplete || heldBytes < this.reservedBytes || turns.mayRead(this))
			return 'read'
		if (!budget.mayWait(turns.waitingCount * READ_AHEAD_BYTES)) return 'end'
		this.notePaused(onResume)
		return 'wait'
	}

	/** Reserves what the answer still needs; a part of it if its length is not known. */
	reserve(): boolean {
		const bytes = Math.max(this.statedBytes, this.collectedBytes + RESERVED_STEP_BYTES)
		if (!this.options.budget.mayReserve(bytes - this.answerBytes)) return false
		this.reservedBytes = bytes
		this.holdAnswer(bytes)
		return true
	}

	/** Continues an answer that is paused; does nothing if none is. */
	resume(): void {
		const { onResume } = this
		this.onResume = undefined
		this.pausedAt = undefined
		this.holdAnswer(this.answerBytes)
		onResume?.()
	}

	/** Notes that reading from the target is paused. `onResume` is called at the latest when the caller has left. */
	notePaused(onResume: () => void): void {
		this.onResume = onResume
		this.pausedAt ??= this.options.now()
		this.holdAnswer(this.answerBytes)
	}

	/** Notes that an answer is being sent from now on. */
	noteAnswerStarted(): void {
		this.taken = new ReadProgress(this.options.now())
	}

	/** Notes that an answer is forwarded while it is received. */
	noteStreamStarted(): void {
		this.isStream = true
		this.noteAnswerStarted()
	}

	/** Notes that `bytes` of a complete answer are not passed to the connection yet. */
	noteUnsent(bytes: number): void {
		this.unsentBytes = bytes
		this.holdUnread()
	}

	/** Counts what the caller has not read. Returns true if the kernel has taken none of it for some time. */
	isSuspect(now: number): boolean {
		const { taken, response } = this
		if (!taken || !response.socket) return false
		const unreadBytes = this.holdUnread()
		taken.note(takenBytes(response.socket), unreadBytes, now)
		if (taken.ageMs(now) >= SUSPECT_MS) return true
		this.acknowledged = undefined
		return false
	}

	/**
	 * Checks whether the caller of a suspect exchange has stalled: bytes that it acknowledges show that it reads, long
	 * before the kernel takes others.
	 */
	findStall(queues: SendQueues, now: number): Stall | undefined {
		const { taken, response } = this
		if (!taken || !response.socket) return undefined
		const unreadBytes = this.unsentBytes + response.writableLength
		this.connectionKey ??= connectionKeyOf(response.socket)
		const queuedBytes = queues.get(this.connectionKey) ?? 0
		this.acknowledged ??= new ReadProgress(now)
		const acknowledgedBytes = takenBytes(response.socket) - queuedBytes
		if (!this.acknowledged.note(acknowledgedBytes, unreadBytes, now)) return undefined
		return { unreadBytes, ageMs: taken.ageMs(now) }
	}

	/** Disconnects the caller with a reset, so that no framing makes its answer look complete. */
	cutOff(): void {
		resetConnection(this.response.socket)
	}

	/** Counts what is passed to the connection or waits for it, and has not been taken by the kernel. */
	private holdUnread(): number {
		const bytes = this.unsentBytes + this.response.writableLength
		this.holdAnswer(bytes)
		return bytes
	}

	private handleClose(): void {
		this.hasCallerLeft = true
		this.taken = undefined
		this.dropAnswer()
		if (this.openAttempts === 0) this.release()
	}

	private dropAnswer(): void {
		this.reservedBytes = 0
		this.answerBytes = 0
		this.options.turns.end(this)
		this.resume()
	}

	private release(): void {
		this.hold('bodies', 0)
		this.hold('retries', 0)
		this.hold('heads', 0)
		this.options.onEnded(this)
	}

	/** Holds `bytes` of the answer, and what is read ahead of it while it is paused. */
	private holdAnswer(bytes: number): void {
		this.answerBytes = this.hasCallerLeft ? 0 : bytes
		const isPaused = this.pausedAt !== undefined
		this.hold('answers', this.answerBytes + (isPaused ? READ_AHEAD_BYTES : 0))
	}

	private hold(memoryClass: MemoryClass, bytes: number): void {
		const change = bytes - this.held[memoryClass]
		if (change === 0) return
		this.held[memoryClass] = bytes
		this.options.budget.add(memoryClass, change)
		if (change < 0) this.options.onReleased()
	}
}

/** Bytes of a connection that the kernel has taken. */
function takenBytes(socket: Socket): number {
	return socket.bytesWritten - socket.writableLength
}

function headerBytes(message: IncomingMessage): number {
	let bytes = message.url?.length ?? 0
	for (const text of message.rawHeaders) bytes += text.length
	return bytes
}
