import type { ClientRequest } from 'node:http'
import { InputTimeout } from '@stallwing/store'

/** How the progress of a body is reported. */
export interface BodyProgress {
	/** Time without progress after which the target has stopped reading, in ms. */
	readonly stallMs: number
	/** Called when a piece has been passed to the kernel and others follow. */
	readonly onProgress: () => void
	readonly onStalled: () => void
}

/** Size of a piece: a target that reads slowly must take one within the stall time. */
const PIECE_BYTES = 65_536

/**
 * Sends a request body piece by piece, so that it shows when the target stops reading. Returns a function that stops
 * sending; it must be called when the call ends. A body of one piece is written at once and needs no timer.
 */
export function sendBodyInPieces(
	request: ClientRequest,
	body: Buffer,
	{ stallMs, onProgress, onStalled }: BodyProgress,
): () => void {
	if (body.length <= PIECE_BYTES) {
		request.end(body)
		return () => undefined
	}
	let sentBytes = 0
	let hasStopped = false
	const timeout = new InputTimeout(onStalled)
	timeout.start(stallMs)
	const stop = (): void => {
		hasStopped = true
		timeout.stop()
	}
	const sendNext = (error?: Error | null): void => {
		if (hasStopped || error) return
		timeout.refresh()
		if (sentBytes > 0) onProgress()
		const piece = body.subarray(sentBytes, sentBytes + PIECE_BYTES)
		sentBytes += piece.length
		if (sentBytes < body.length) request.write(piece, sendNext)
		else request.end(piece, stop)
	}
	sendNext()
	return stop
}
