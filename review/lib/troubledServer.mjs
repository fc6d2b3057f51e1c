/**
 * Server stand-in that can be in trouble: from then on it answers each request with bytes that are no answer, without end,
 * until the caller closes. Before that it is sound. What it sends is given by the script.
 */
import { createServer } from 'node:net'
import { Server } from './servers.mjs'

/** Interval at which a server in trouble writes once more what follows without end, in ms. */
const WRITE_INTERVAL_MS = 50
/** It waits while a caller does not read. */
const MAX_UNSENT_BYTES = 1_000_000

export class TroubledServer extends Server {
	/** Bytes sent in trouble. */
	floodBytes = 0
	/** Requests answered without end. */
	floodCount = 0
	isInTrouble = false

	/** `opening` makes the first bytes of an answer from the id of its request; `rest` follows without end. */
	constructor({ opening, rest, ...options }) {
		super(options)
		Object.assign(this, { opening, rest: Buffer.from(rest) })
	}

	/** Listens on the address of this server; passes connections to the sound server until it is in trouble. */
	async start() {
		await super.start()
		const sound = this.server
		const inner = sound.listeners('connection')[0]
		const gate = createServer((socket) => {
			socket.once('data', (bytes) => {
				socket.pause()
				socket.unshift(bytes)
				if (this.isInTrouble) this.flood(socket, bytes)
				else {
					inner.call(sound, socket)
					socket.resume()
				}
			})
			socket.on('error', () => socket.destroy())
		})
		await new Promise((resolve) => gate.listen(0, '127.0.0.1', resolve))
		this.gate = gate
		this.address = `127.0.0.1:${gate.address().port}`
		this.publish('ready')
	}

	stop() {
		super.stop()
		this.gate.close()
	}

	flood(socket, bytes) {
		const id = /x-attempt-id: *(\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? ''
		this.floodCount++
		this.record.note(`server ${this.id} answers ${id} with bytes without end`)
		socket.on('close', () => this.record.note(`the connection of ${id} has been closed`))
		socket.resume()
		socket.on('data', () => undefined)
		socket.write(this.opening(id, `${this.id}.${id}`))
		const timer = setInterval(() => {
			if (socket.destroyed) {
				clearInterval(timer)
				return
			}
			if (socket.writableLength > MAX_UNSENT_BYTES) return
			this.floodBytes += this.rest.length
			socket.write(this.rest)
		}, WRITE_INTERVAL_MS)
	}
}
