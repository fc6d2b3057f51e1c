import type { IncomingMessage, ServerResponse } from 'node:http'
import {
	ReadProgress,
	type AnswerTurns,
	type MemoryBudget,
	type MemoryClass,
	type WaitingAnswer,
} from '@stallwing/core'

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

/** Heap that an exchange takes besides its headers: its objects, closures, timers and two connections, in bytes. */
const EXCHANGE_BYTES = 24_000
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
	/** Set while an answer is being sent. */
	private progress: ReadProgress | undefined
	private pausedAt: number | undefined
	private onResume: (() => void) | undefined
	private openAttempts = 0
	private hasCallerLeft = false
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
		const { bodies } = this.held
		this.hold('bodies', 0)
		this.hold('retries', this.held.retries + bodies)
	}

	/** Called when an attempt has ended. `isAnswerKept`: the answer that it collected will be sent. */
	endAttempt(isAnswerKept: boolean): void {
		this.openAttempts--
		if (!isAnswerKept) this.dropAnswer()
		if (this.hasCallerLeft && this.openAttempts === 0) this.release()
	}

	/** Holds `bytes` of the answer, collected or unread. */
	holdAnswer(bytes: number): void {
		if (!this.hasCallerLeft) this.hold('answers', bytes)
	}

	/** True if the answer may be read on. Otherwise it must be paused until `onResume` is called. */
	mayCollect(onResume: () => void): boolean {
		const { budget, turns, now } = this.options
		if (this.hasCallerLeft || budget.mayCollect(this.held.answers) || turns.mayRead(this))
			return true
		this.onResume = onResume
		this.pausedAt ??= now()
		return false
	}

	resume(): void {
		const { onResume } = this
		this.onResume = undefined
		this.noteResumed()
		onResume?.()
	}

	/** Notes that reading from the target is paused, because the caller reads slowly. */
	notePaused(): void {
		this.pausedAt ??= this.options.now()
	}

	noteResumed(): void {
		this.pausedAt = undefined
	}

	/** Notes that an answer is being sent from now on. */
	noteAnswerStarted(): void {
		this.progress = new ReadProgress(this.options.now())
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

	/**
	 * Checks how the caller reads, and counts what it has not read. Returns the unread bytes and the time since the last
	 * progress in ms if the caller is stalled.
	 */
	findStall(now: number): { readonly unreadBytes: number; readonly ageMs: number } | undefined {
		const { progress, response } = this
		if (!progress || !response.socket) return undefined
		const { bytesWritten, writableLength } = response.socket
		const unreadBytes = this.holdUnread()
		if (!progress.note(bytesWritten - writableLength, unreadBytes, now)) return undefined
		return { unreadBytes, ageMs: progress.ageMs(now) }
	}

	/** Disconnects the caller with a reset, so that no framing makes its answer look complete. */
	cutOff(): void {
		this.response.socket?.resetAndDestroy()
	}

	/** Counts what is passed to the connection or waits for it, and has not been taken by the kernel. */
	private holdUnread(): number {
		const bytes = this.unsentBytes + this.response.writableLength
		this.holdAnswer(bytes)
		return bytes
	}

	private handleClose(): void {
		this.hasCallerLeft = true
		this.progress = undefined
		this.dropAnswer()
		if (this.openAttempts === 0) this.release()
	}

	private dropAnswer(): void {
		this.hold('answers', 0)
		this.options.turns.end(this)
		if (this.onResume) this.resume()
		this.noteResumed()
	}

	private release(): void {
		this.hold('bodies', 0)
		this.hold('retries', 0)
		this.hold('heads', 0)
		this.options.onEnded(this)
	}

	private hold(memoryClass: MemoryClass, bytes: number): void {
		const change = bytes - this.held[memoryClass]
		if (change === 0) return
		this.held[memoryClass] = bytes
		this.options.budget.add(memoryClass, change)
		if (change < 0) this.options.onReleased()
	}
}

function headerBytes(message: IncomingMessage): number {
	let bytes = message.url?.length ?? 0
	for (const text of message.rawHeaders) bytes += text.length
	return bytes
}
