import { readSync } from 'node:fs'
import { connect, type Socket } from 'node:net'
import { sleep } from '../sleep.js'

/** What is left of a connection that nothing was read from before. */
export interface LateRead {
	readonly bytes: number
	readonly end: 'in order' | 'reset'
}

const READ_BYTES = 65_536
const POLL_INTERVAL_MS = 10

/**
 * For tests: a caller that reads late, with system calls. Node's own sockets show a reset as an end in order if unread bytes
 * came before it: libuv takes a hang-up for the end once a read returned less than it asked for.
 */
export class LateReader {
	private constructor(
		private readonly socket: Socket,
		private readonly descriptor: number,
	) {}

	/** Connects, sends a request and reads nothing. */
	static async send(port: number, request: string): Promise<LateReader> {
		const socket = connect({ port, host: '127.0.0.1' }).pause()
		await new Promise<void>((resolve) => socket.once('connect', resolve))
		await new Promise<void>((resolve) => socket.write(request, () => resolve()))
		const handle = (socket as unknown as { _handle: { fd: number } })._handle
		return new LateReader(socket, handle.fd)
	}

	/** Reads until the connection ends. */
	async read(): Promise<LateRead> {
		const buffer = Buffer.alloc(READ_BYTES)
		let bytes = 0
		for (;;) {
			const count = this.readOnce(buffer)
			if (count === 'reset') return { bytes, end: 'reset' }
			if (count === 0) return { bytes, end: 'in order' }
			if (count === 'nothing yet') await sleep(POLL_INTERVAL_MS)
			else bytes += count
		}
	}

	close(): void {
		this.socket.destroy()
	}

	private readOnce(buffer: Buffer): number | 'nothing yet' | 'reset' {
		try {
			return readSync(this.descriptor, buffer)
		} catch (error) {
			const { code } = error as NodeJS.ErrnoException
			if (code === 'EAGAIN') return 'nothing yet'
			if (code === 'ECONNRESET') return 'reset'
			throw error
		}
	}
}
