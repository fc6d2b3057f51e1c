/**
 * Client stand-in on a plain socket: it keeps every byte that it got, and how the connection ended, so that an answer is
 * judged as HTTP/1.1 defines it.
 */
import { connect } from 'node:net'

/** Reads the end of an answer from its bytes and from the end of its connection. */
export class RawAnswer {
	bytes = Buffer.alloc(0)
	/** `open`, `end` (closed in order), or `reset`. */
	end = 'open'

	get head() {
		const at = this.bytes.indexOf('\r\n\r\n')
		if (at < 0) return undefined
		const [statusLine, ...lines] = this.bytes.toString('latin1', 0, at).split('\r\n')
		const headers = {}
		for (const line of lines) {
			const colon = line.indexOf(':')
			headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
		}
		return { status: Number(statusLine.split(' ')[1]), headers, length: at + 4 }
	}

	/** The body so far, and whether the answer is complete as the protocol defines it. */
	get body() {
		const { head } = this
		if (!head) return { text: '', complete: false }
		const rest = this.bytes.subarray(head.length)
		if (/chunked/i.test(head.headers['transfer-encoding'] ?? '')) return readChunks(rest)
		const length = head.headers['content-length']
		if (length !== undefined)
			return { text: rest.toString(), complete: rest.length >= Number(length) }
		return { text: rest.toString(), complete: this.end === 'end' }
	}

	/** Ids of the whole events, and the bytes after the last of them. */
	get events() {
		const parts = this.body.text.split('\n\n')
		const rest = parts.pop()
		const ids = parts.map((part) => Number(/^id: *(\d+)/m.exec(part)?.[1]))
		return { ids, rest, texts: parts }
	}
}

function readChunks(bytes) {
	let text = ''
	let at = 0
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', at)
		if (lineEnd < 0) return { text, complete: false }
		const size = parseInt(bytes.toString('latin1', at, lineEnd), 16)
		if (size === 0) return { text, complete: bytes.length >= lineEnd + 4 }
		if (bytes.length < lineEnd + 2 + size + 2) return { text, complete: false }
		text += bytes.toString('utf8', lineEnd + 2, lineEnd + 2 + size)
		at = lineEnd + 2 + size + 2
	}
}

/** Sends a request on a new connection. Resolves once the answer is complete or the connection has ended. */
export function send(
	port,
	{ method = 'POST', path, headers, body = '' },
	onData = () => undefined,
) {
	const answer = new RawAnswer()
	const socket = connect({ host: '127.0.0.1', port, noDelay: true })
	const head = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) })
	const lines = head.map(([name, value]) => `${name}: ${value}\r\n`).join('')
	socket.write(`${method} ${path} HTTP/1.1\r\n${lines}\r\n${body}`)
	const ended = new Promise((resolve) => {
		socket.on('data', (chunk) => {
			answer.bytes = Buffer.concat([answer.bytes, chunk])
			onData(answer)
			const { head: read, body: soFar } = answer
			const keeps = read && !/close/i.test(read.headers.connection ?? '')
			if (keeps && soFar.complete) resolve(answer)
		})
		socket.on('end', () => {
			if (answer.end === 'open') answer.end = 'end'
		})
		socket.on('error', () => {
			answer.end = 'reset'
		})
		socket.on('close', () => {
			if (answer.end === 'open') answer.end = 'reset'
			resolve(answer)
		})
	})
	return { answer, ended: ended.finally(() => socket.destroy()), socket }
}

/** A client that keeps its connection for many requests, one after the other. */
export class KeptClient {
	/** Requests sent on this connection. */
	count = 0
	isClosed = false

	constructor(port) {
		this.socket = connect({ host: '127.0.0.1', port, noDelay: true })
		this.socket.on('data', (chunk) => this.read(chunk))
		this.socket.on('error', () => undefined)
		this.socket.on('close', () => {
			this.isClosed = true
			this.finish(undefined)
		})
	}

	/** Resolves to the answer, or to undefined if the connection ended without a complete one. */
	send({ method = 'POST', path, headers, body = '' }) {
		this.count++
		this.answer = new RawAnswer()
		const head = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) })
		const lines = head.map(([name, value]) => `${name}: ${value}\r\n`).join('')
		this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines}\r\n${body}`)
		return new Promise((resolve) => (this.resolve = resolve))
	}

	/** True if the box asked to close the connection after the last answer. */
	get mustClose() {
		return this.isClosed || /close/i.test(this.answer?.head?.headers.connection ?? '')
	}

	close() {
		this.socket.destroy()
	}

	read(chunk) {
		if (!this.answer) return
		this.answer.bytes = Buffer.concat([this.answer.bytes, chunk])
		if (this.answer.body.complete) this.finish(this.answer)
	}

	finish(answer) {
		const { resolve } = this
		this.resolve = undefined
		resolve?.(answer)
	}
}
