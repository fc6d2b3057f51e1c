import type { BoxName, ForwardingPeer, ForwardingPeers, TargetEntry } from '@stallwing/core'
import type { ConnectionPool } from '../ConnectionPool.js'
import {
	sendToTarget,
	type ResponseHead,
	type ResponseListener,
	type TargetCall,
	type TargetFailure,
	type TargetRequest,
} from '../sendToTarget.js'
import {
	FORWARD_PATH,
	decodeForwardedHead,
	encodeForwardedRequest,
	splitHead,
	type ForwardRefusal,
} from './forwardCodec.js'

export interface ForwardedCallOptions {
	readonly peers: ForwardingPeers
	readonly poolFor: (peer: ForwardingPeer) => ConnectionPool
	readonly now: () => number
	/** Called when a box did not forward the request. */
	readonly onRefused: (box: BoxName, reason: string) => void
}

/** Boxes that are asked to forward one request, one after the other. Only one of them sends it to the target. */
const MAX_ASKED_BOXES = 3
const OK = 200

/**
 * Sends a request to a target through another box. Boxes that refuse have sent nothing, so the next one is asked. If
 * none forwards the request, the failure is `not-reached`.
 */
export class ForwardedCall implements TargetCall {
	private readonly asked = new Set<BoxName>()
	private peer: ForwardingPeer | undefined
	private call: TargetCall | undefined
	private hasEnded = false

	constructor(
		private readonly options: ForwardedCallOptions,
		private readonly target: TargetEntry,
		private readonly message: TargetRequest,
		private readonly listener: ResponseListener,
	) {}

	/** Asks the next box. Returns false if there is none. */
	start(): boolean {
		const { now, peers, poolFor } = this.options
		if (this.asked.size >= MAX_ASKED_BOXES) return false
		const peer = peers.choose(this.target.zone, this.asked, now())
		if (!peer) return false
		this.asked.add(peer.box)
		this.peer = peer
		this.call = sendToTarget(
			poolFor(peer),
			new ForwardingRequest(this.target, this.message, peer),
			new ForwardedResponse(this, this.listener),
		)
		return true
	}

	pause(): void {
		this.call?.pause()
	}

	resume(): void {
		this.call?.resume()
	}

	abort(): void {
		this.hasEnded = true
		this.call?.abort()
	}

	/** The box that was asked has not sent the request. */
	handleRefused(reason: ForwardRefusal | 'no-answer'): void {
		if (this.hasEnded || !this.peer) return
		this.options.onRefused(this.peer.box, reason)
		const isTargetDown = reason === 'target-not-reached'
		if (!isTargetDown) this.options.peers.noteUnable(this.peer.box, this.options.now())
		if (!isTargetDown && this.start()) return
		this.fail({ kind: 'not-reached', cause: `not forwarded: ${reason}` })
	}

	fail(failure: TargetFailure): void {
		if (this.hasEnded) return
		this.hasEnded = true
		this.listener.onFailure(failure)
	}

	/** Closes the connection of a response that does not belong to the request. */
	rejectResponse(): void {
		this.call?.abort()
		this.fail({ kind: 'broken', cause: 'answer of another request' })
	}
}

/** Asks a box to forward a request. Encoded when it is sent, because the request states the time that is left. */
class ForwardingRequest implements TargetRequest {
	readonly method = 'POST'
	readonly path = FORWARD_PATH
	private encoded: Buffer | undefined

	constructor(
		private readonly target: TargetEntry,
		private readonly message: TargetRequest,
		private readonly peer: ForwardingPeer,
	) {}

	get headers(): readonly string[] {
		const length = String(this.body.length)
		return ['Host', this.peer.address, 'Connection', 'keep-alive', 'Content-Length', length]
	}

	get body(): Buffer {
		const { message, target } = this
		this.encoded ??= encodeForwardedRequest({ target: target.name, message })
		return this.encoded
	}
}

/** Reads the target's response, or a refusal, from the response of another box. */
class ForwardedResponse implements ResponseListener {
	private status = 0
	private received = Buffer.alloc(0)
	private hasHead = false

	constructor(
		private readonly call: ForwardedCall,
		private readonly listener: ResponseListener,
	) {}

	maySend(): Promise<boolean> {
		return this.listener.maySend()
	}

	onHead({ status }: ResponseHead): boolean {
		this.status = status
		return true
	}

	onData(chunk: Buffer): number {
		if (this.hasHead) return this.listener.onData(chunk)
		this.received = Buffer.concat([this.received, chunk])
		return this.status === OK ? this.readHead() : 1
	}

	onEnd(): void {
		if (this.status !== OK) this.call.handleRefused(readRefusal(this.received))
		else if (this.hasHead) this.listener.onEnd()
		else this.call.fail({ kind: 'broken', cause: 'no answer from the forwarding box' })
	}

	onFailure(failure: TargetFailure): void {
		if (failure.kind === 'not-reached') this.call.handleRefused('no-answer')
		else this.call.fail(failure)
	}

	/** Returns the number of parts that were handled one by one. */
	private readHead(): number {
		const parts = splitHead(this.received)
		if (!parts) return 1
		const head = decodeForwardedHead(parts.head)
		this.hasHead = true
		if (!head || !this.listener.onHead(head)) {
			this.call.rejectResponse()
			return 1
		}
		return parts.rest.length > 0 ? this.listener.onData(parts.rest) : 1
	}
}

/** A box of an earlier version does not know the endpoint; it has not sent the request either. */
function readRefusal(body: Buffer): ForwardRefusal | 'no-answer' {
	const reasons: readonly ForwardRefusal[] = [
		'target-not-reached',
		'service-unreachable',
		'overloaded',
		'stopping',
		'malformed',
	]
	const text = body.toString('utf8')
	return reasons.find((reason) => reason === text) ?? 'no-answer'
}
