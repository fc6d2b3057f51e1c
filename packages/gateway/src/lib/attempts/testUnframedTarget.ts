import type { Socket } from 'node:net'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { STANDIN_HEADERS } from '@stallwing/standins'
import { TEST_HEALTH_PATH } from '../testTrafficConfig.js'

const EVENT_INTERVAL_MS = 20
const LENGTH_ZERO = 'Content-Length: 0\r\n\r\n'

export interface UnframedTargetOptions {
	/** Number of events of a complete stream. */
	readonly events: number
	/** Port to listen on; 0 for a free one. */
	readonly port?: number
}

/** What a target does with its connections when its process ends. */
type Close = 'in order' | 'reset'

/** For tests: a target that sends neither a length nor chunks, and answers its health check. */
export class UnframedTarget {
	/** Requests for streams that it has received. */
	runCount = 0
	healthChecks = 0
	/** Answers a health check in place of the target, for instance with silence. */
	answerHealth: (socket: Socket) => void = (socket) => this.writeHealth(socket)
	private server: Server
	private readonly sockets = new Set<Socket>()
	private readonly streams = new Map<Socket, NodeJS.Timeout>()

	constructor(
		readonly name: string,
		private readonly options: UnframedTargetOptions,
	) {
		this.server = createServer((socket) => this.serve(socket))
	}

	async start(): Promise<void> {
		const { port = 0 } = this.options
		await new Promise<void>((resolve) => this.server.listen(port, '127.0.0.1', resolve))
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port
	}

	get address(): string {
		return `127.0.0.1:${this.port}`
	}

	/** Ends as a process that is killed: its listening socket and all connections are closed. */
	die(how: Close = 'in order'): void {
		this.server.close()
		this.closeConnections(how)
	}

	/** Dies, while the kernel still accepts connections for it. */
	dieSlowly(): void {
		this.server.removeAllListeners('connection')
		this.server.on('connection', (socket) => {
			this.sockets.add(socket)
			socket.on('error', () => undefined)
			setTimeout(() => socket.destroy(), 10)
		})
		this.closeConnections('in order')
	}

	/** Ends its streams between two events, and lives on. */
	endStreamsEarly(): void {
		for (const [socket, timer] of this.streams) {
			clearInterval(timer)
			socket.end()
		}
	}

	/** Answers a health check as a target that is well. */
	writeHealth(socket: Socket, status = '200 OK'): void {
		socket.write(
			`HTTP/1.1 ${status}\r\n${STANDIN_HEADERS.instance}: ${this.name}\r\n${LENGTH_ZERO}`,
		)
	}

	private closeConnections(how: Close): void {
		for (const socket of this.sockets)
			if (how === 'reset') socket.resetAndDestroy()
			else socket.destroy()
	}

	private serve(socket: Socket): void {
		this.sockets.add(socket)
		socket.on('error', () => undefined)
		socket.on('close', () => this.forget(socket))
		socket.on('data', (bytes: Buffer) => this.answer(socket, bytes.toString('latin1')))
	}

	private forget(socket: Socket): void {
		this.sockets.delete(socket)
		clearInterval(this.streams.get(socket))
		this.streams.delete(socket)
	}

	private answer(socket: Socket, head: string): void {
		const expected = valueOf(head, STANDIN_HEADERS.expectedTarget)
		if (expected !== undefined && expected !== this.name) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\n${LENGTH_ZERO}`)
			return
		}
		if (head.startsWith(`GET ${TEST_HEALTH_PATH}`)) {
			this.healthChecks++
			this.answerHealth(socket)
			return
		}
		this.runCount++
		this.stream(socket, head)
	}

	private stream(socket: Socket, head: string): void {
		let id = Number(valueOf(head, STANDIN_HEADERS.lastEvent) ?? 0)
		const requestId = valueOf(head, STANDIN_HEADERS.requestId) ?? ''
		socket.write(
			`HTTP/1.1 200 OK\r\n${STANDIN_HEADERS.requestId}: ${requestId}\r\n` +
				`${STANDIN_HEADERS.signature}: ${this.name}\r\nContent-Type: text/event-stream\r\n\r\n`,
		)
		const timer = setInterval(() => {
			id++
			if (id <= this.options.events) socket.write(eventOf(id))
			if (id < this.options.events) return
			clearInterval(timer)
			socket.end()
		}, EVENT_INTERVAL_MS)
		this.streams.set(socket, timer)
	}
}

/** Events of ids 1 to `count`, as a caller receives them. */
export function eventsUpTo(count: number): string {
	return Array.from({ length: count }, (_, index) => eventOf(index + 1)).join('')
}

function eventOf(id: number): string {
	return `id: ${id}\ndata: piece ${id}\n\n`
}

function valueOf(head: string, header: string): string | undefined {
	return new RegExp(`^${header}: *(.*?)\\r?$`, 'im').exec(head)?.[1]
}
