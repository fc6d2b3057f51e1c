/**
 * Server stand-in for the routes of a case: event streams that can go on at `Last-Event-Id`, and plain answers. It keeps
 * itself in the store under its id, answers its health check, rejects requests for another instance, and records what it ran.
 */
import { createServer } from 'node:http'

let started = 0

export class Server {
	/** Runs: id of the request, and when they began and ended. */
	runs = []
	sockets = new Set()

	constructor({ store, service, zone, version = 1, slots = 64, record, stream = {}, workMs }) {
		this.id = `i-${(++started).toString(16).padStart(4, '0')}${process.pid.toString(16)}`
		Object.assign(this, { store, service, zone, version, slots, record, workMs })
		this.stream = { count: 60, gapMs: 100, framing: 'chunked', ...stream }
	}

	async start() {
		this.server = createServer((message, response) => void this.handle(message, response))
		this.server.keepAliveTimeout = 30_000
		this.server.on('connection', (socket) => {
			this.sockets.add(socket)
			socket.on('close', () => this.sockets.delete(socket))
		})
		await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve))
		this.address = `127.0.0.1:${this.server.address().port}`
		this.publish('ready')
	}

	/** Writes the entry of this server. */
	publish(state) {
		this.store.put(`servers/${this.id}`, {
			Backend: this.service,
			Address: this.address,
			Zone: this.zone,
			ConfigVersion: this.version,
			Slots: this.slots,
			State: state,
			ColdRemainingMs: 0,
			Sequence: 1,
		})
	}

	/** Takes the entry of this server away; it serves on until {@link stop}. */
	withdraw() {
		this.store.remove(`servers/${this.id}`)
	}

	stop() {
		this.server.close()
		this.server.closeAllConnections()
	}

	async handle(message, response) {
		const { headers, url } = message
		const id = headers['x-attempt-id']
		if (url === '/healthz') {
			response.writeHead(200, { 'X-Upstream-Instance': this.id }).end()
			return
		}
		try {
			for await (const chunk of message) void chunk
		} catch {
			return
		}
		const common = { 'X-Attempt-Id': id, 'X-Upstream-Signature': `${this.id}.${id}` }
		const target = headers['x-target-instance']
		if (target !== undefined && target !== this.id) {
			response.writeHead(421, { 'X-Attempt-Id': id, 'X-Upstream-Instance': this.id }).end()
			return
		}
		const run = { id, beganAt: performance.now(), from: Number(headers['last-event-id'] ?? 0) }
		this.runs.push(run)
		this.record.note(`server ${this.id} (version ${this.version}) runs ${id} after ${run.from}`)
		response.on('close', () => (run.endedAt = performance.now()))
		if (this.workMs !== undefined) {
			setTimeout(() => this.answer(response, run, common), this.workMs(url))
			return
		}
		if (this.stream.framing === 'close') {
			response.useChunkedEncodingByDefault = false
			response.shouldKeepAlive = false
		}
		response.writeHead(200, { ...common, 'Content-Type': 'text/event-stream' })
		response.flushHeaders()
		this.sendEvents(response, run)
	}

	answer(response, run, headers) {
		run.done = true
		const body = `done ${run.id}`
		const length = { 'Content-Length': String(body.length) }
		if (!response.destroyed) response.writeHead(200, { ...headers, ...length }).end(body)
	}

	sendEvents(response, run) {
		const { count, gapMs } = this.stream
		run.sent = run.from
		const timer = setInterval(() => {
			if (response.destroyed) {
				clearInterval(timer)
				this.record.note(`server ${this.id} loses ${run.id} after event ${run.sent}`)
				return
			}
			run.sent++
			response.write(`id: ${run.sent}\ndata: piece ${run.sent} version ${this.version}\n\n`)
			if (run.sent < count) return
			clearInterval(timer)
			run.whole = true
			this.record.note(`server ${this.id} ends ${run.id} with its last event ${run.sent}`)
			response.end()
		}, gapMs)
	}
}
