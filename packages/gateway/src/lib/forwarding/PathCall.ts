import type { ServiceName, TargetEntry, TargetName } from '@stallwing/core'
import { InputTimeout } from '@stallwing/store'
import type { ConnectionPool } from '../ConnectionPool.js'
import {
	sendToTarget,
	type ResponseHead,
	type ResponseListener,
	type TargetCall,
	type TargetFailure,
	type TargetRequest,
} from '../sendToTarget.js'

/** A request to a target. */
export interface PathRequest {
	readonly target: TargetEntry
	readonly message: TargetRequest
	readonly listener: ResponseListener
	/** Time without an answer after which silence may show a lost path, in ms. */
	readonly silenceMs: number
	/** See {@link sendToTarget}. */
	readonly bodyStallMs: number | undefined
}

/** What a {@link PathCall} needs to know of the paths, and tells of them. */
export interface CallPaths {
	poolFor(target: TargetEntry): ConnectionPool
	/** True if requests to the targets of the service go through other boxes. */
	isUnreachable(service: ServiceName): boolean
	/** Sends a request through another box. Returns undefined if no box can be asked. */
	forward(
		target: TargetEntry,
		message: TargetRequest,
		listener: ResponseListener,
	): TargetCall | undefined
	/** Counts a forwarded request until the returned function is called. */
	countForwarded(target: TargetName): () => void
	/** A target sent bytes. */
	noteReceived(service: ServiceName): void
	/** A target has been silent for some time since a request was sent. */
	noteSilence(target: TargetEntry, sentAt: number): void
	/** Monotonic clock, in ms. */
	now(): number
}

/** One request to a target, sent directly or through another box. */
export class PathCall implements TargetCall, ResponseListener {
	private call: TargetCall | undefined
	private silenceTimeout: InputTimeout | undefined
	private endForwarding: (() => void) | undefined

	constructor(
		private readonly paths: CallPaths,
		private readonly request: PathRequest,
	) {}

	start(): TargetCall {
		if (!this.tryForward()) this.sendDirectly()
		return this
	}

	pause(): void {
		this.call?.pause()
	}

	resume(): void {
		this.call?.resume()
	}

	abort(): void {
		this.finish()
		this.call?.abort()
	}

	async maySend(): Promise<boolean> {
		const maySend = await this.request.listener.maySend()
		if (maySend && !this.endForwarding) this.watchSilence()
		return maySend
	}

	onHead(head: ResponseHead): boolean {
		this.silenceTimeout?.stop()
		this.noteReceived()
		return this.request.listener.onHead(head)
	}

	onData(chunk: Buffer): number {
		this.noteReceived()
		return this.request.listener.onData(chunk)
	}

	onBodyProgress(): void {
		this.request.listener.onBodyProgress?.()
	}

	onEnd(): void {
		this.finish()
		this.request.listener.onEnd()
	}

	onFailure(failure: TargetFailure): void {
		const wasForwarded = this.endForwarding !== undefined
		this.finish()
		// Nothing was sent, so the request may take the other path.
		if (failure.kind === 'not-reached' && !wasForwarded && this.tryForward()) return
		this.request.listener.onFailure(failure)
	}

	private sendDirectly(): void {
		const { bodyStallMs, message, target } = this.request
		this.call = sendToTarget(this.paths.poolFor(target), message, this, bodyStallMs)
	}

	/** Returns false if the target should be reached directly, or no other box can be asked. */
	private tryForward(): boolean {
		const { message, target } = this.request
		if (!this.paths.isUnreachable(target.service)) return false
		this.endForwarding = this.paths.countForwarded(target.name)
		const call = this.paths.forward(target, message, this)
		if (call) this.call = call
		else this.finish()
		return call !== undefined
	}

	private noteReceived(): void {
		if (!this.endForwarding) this.paths.noteReceived(this.request.target.service)
	}

	private watchSilence(): void {
		const sentAt = this.paths.now()
		this.silenceTimeout = new InputTimeout(() =>
			this.paths.noteSilence(this.request.target, sentAt),
		)
		this.silenceTimeout.start(this.request.silenceMs)
	}

	private finish(): void {
		this.silenceTimeout?.stop()
		this.endForwarding?.()
		this.endForwarding = undefined
	}
}
