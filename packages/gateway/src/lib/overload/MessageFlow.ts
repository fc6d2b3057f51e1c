import type { IncomingMessage } from 'node:http'

/**
 * Pauses and resumes the reading of a message. The rest of what was already read from the connection is still delivered:
 * a paused message would keep each chunk of it as an object of its own, which takes many times its size.
 */
export class MessageFlow {
	private isPauseWanted = false
	private isPaused = false

	constructor(private readonly message: IncomingMessage) {}

	pause(): void {
		if (this.isPauseWanted) return
		this.isPauseWanted = true
		// The stream asks for more in the next tick after it has delivered a chunk, which would undo an earlier pause.
		process.nextTick(() => process.nextTick(() => this.applyPause()))
	}

	resume(): void {
		this.isPauseWanted = false
		if (!this.isPaused) return
		this.isPaused = false
		// The parser does not deliver the end of a message whose connection is gone.
		this.message.resume()
		if (!this.message.complete) this.message.socket.resume()
	}

	private applyPause(): void {
		if (!this.isPauseWanted || this.message.complete || this.message.destroyed) return
		this.isPaused = true
		this.message.pause()
		this.message.socket.pause()
	}
}
