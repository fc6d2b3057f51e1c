import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { sleep } from '../sleep.js'
import type { OrderRun } from './testOrderChecker.js'
import { indexAfter, pieceText, streamLayoutOf } from './testOrderStream.js'

/** How a run breaks off. */
export interface RunBreak {
	/** Index of the piece before which, or inside which, it breaks off. */
	readonly index: number
	readonly isInside: boolean
	readonly isReset: boolean
}

/** What a target does with one request. */
export interface RunPlan {
	readonly isChunked: boolean
	readonly firstDelayMs: number
	readonly intervalMs: number
	/** Pieces before which the run is silent, with the time in ms; one past the last is the end of the stream. */
	readonly silences: ReadonlyMap<number, number>
	readonly break: RunBreak | undefined
	/** Number of pieces that are written at once. */
	readonly batch: number
	/** Number of writes into which a batch is split. */
	readonly parts: number
	/** After a whole answer, the bytes of another one for the same request follow on the connection. */
	readonly isSentTwice: boolean
	/** Answer to a request to go on after an event. */
	readonly takeUp: 'goes on' | 'repeats the last piece' | 'begins again' | 'rejects' | 'fails'
}

export interface OrderTargetOptions {
	readonly name: string
	readonly service: string
	readonly version: string
	/** All runs of all targets; their number is their index. */
	readonly runs: OrderRun[]
	readonly planOf: (run: OrderRun, path: string) => RunPlan
	readonly random: () => number
}

interface ReceivedHead {
	readonly path: string
	readonly header: (name: string) => string | undefined
}

const HEAD_END = '\r\n\r\n'
const POLL_MS = 10

/** For tests: a target on raw sockets that writes streams and breaks them off in all the ways that a network allows. */
export class TestOrderTarget {
	port = 0
	/** Time until which it sends nothing. */
	silentUntil = 0
	private server: Server
	private readonly sockets = new Set<Socket>()

	constructor(readonly options: OrderTargetOptions) {
		this.server = createServer((socket) => this.accept(socket))
	}

	async start(port = 0): Promise<void> {
		await new Promise<void>((resolve) => this.server.listen(port, '127.0.0.1', resolve))
		this.port = (this.server.address() as AddressInfo).port
	}

	/** Ends it as a crash does: its connections are closed or reset. */
	async kill(isReset: boolean): Promise<void> {
		const closed = new Promise<void>((resolve) => this.server.close(() => resolve()))
		for (const socket of this.sockets)
			if (isReset) socket.resetAndDestroy()
			else socket.destroy()
		await closed
	}

	private accept(socket: Socket): void {
		this.sockets.add(socket)
		socket.setNoDelay(true)
		socket.on('error', () => undefined)
		socket.on('close', () => this.sockets.delete(socket))
		let received = ''
		let answered = Promise.resolve()
		socket.on('data', (bytes: Buffer) => {
			received += bytes.toString('latin1')
			for (let end = received.indexOf(HEAD_END); end >= 0; end = received.indexOf(HEAD_END)) {
				const head = readHead(received.slice(0, end))
				received = received.slice(end + HEAD_END.length)
				answered = answered.then(() => this.answer(socket, head))
			}
		})
	}

	private async answer(socket: Socket, { header, path }: ReceivedHead): Promise<void> {
		const { name, planOf, runs, service, version } = this.options
		const requestId = header('request-id') ?? ''
		if (header('expected-target') !== name) {
			socket.write(statusHead(421, requestId, 'not-run: 1'))
			return
		}
		const last = header('last-event-id')
		const lastEventId = last === undefined ? undefined : Number(last)
		const isTakenUpByCaller = header('resumed-request') !== undefined
		const run = { target: name, service, version, requestId, lastEventId, isTakenUpByCaller }
		const plan = planOf(run, path)
		if (lastEventId !== undefined && plan.takeUp === 'rejects') {
			socket.write(statusHead(503, requestId, 'not-run: 1'))
			return
		}
		const number = runs.push(run) - 1
		await this.pause(socket, plan.firstDelayMs)
		if (lastEventId !== undefined && plan.takeUp === 'fails') {
			socket.write(statusHead(500, requestId, `target-mark: ${name}`))
			return
		}
		socket.write(this.streamHead(requestId, plan.isChunked))
		await this.writePieces(socket, path, number, plan)
	}

	private async writePieces(
		socket: Socket,
		path: string,
		number: number,
		plan: RunPlan,
	): Promise<void> {
		const layout = streamLayoutOf(path)
		let index = firstIndex(path, this.options.runs[number]?.lastEventId, plan)
		while (index < layout.ids.length && !socket.destroyed) {
			await this.pause(socket, plan.silences.get(index) ?? 0)
			if (plan.break?.index === index) {
				this.breakOff(socket, plan, pieceText(layout, index, number))
				return
			}
			let text = ''
			const end = Math.min(layout.ids.length, index + plan.batch)
			do text += pieceText(layout, index++, number)
			while (index < end && !plan.silences.has(index) && plan.break?.index !== index)
			await this.write(socket, text, plan)
			await this.pause(socket, plan.intervalMs)
		}
		await this.pause(socket, plan.silences.get(layout.ids.length) ?? 0)
		if (!plan.isChunked) socket.end()
		else socket.write('0\r\n\r\n')
		if (plan.isChunked && plan.isSentTwice) this.sendAgain(socket, path, number)
	}

	private sendAgain(socket: Socket, path: string, number: number): void {
		const requestId = this.options.runs[number]?.requestId ?? ''
		const text = pieceText(streamLayoutOf(path), 0, number)
		setTimeout(
			() => socket.write(`${this.streamHead(requestId, true)}${chunkOf(text)}0\r\n\r\n`),
			POLL_MS,
		)
	}

	private streamHead(requestId: string, isChunked: boolean): string {
		return (
			`HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\ntarget-mark: ${this.options.name}\r\n` +
			`${isChunked ? 'transfer-encoding: chunked\r\n' : ''}content-type: text/event-stream\r\n\r\n`
		)
	}

	private async write(socket: Socket, text: string, { isChunked, parts }: RunPlan): Promise<void> {
		let rest = text
		for (let left = parts; left > 0 && rest !== ''; left--) {
			const length = left === 1 ? rest.length : 1 + Math.floor(this.options.random() * rest.length)
			const part = rest.slice(0, length)
			rest = rest.slice(length)
			const isTaken = socket.write(isChunked ? chunkOf(part) : part)
			if (!isTaken) await this.drained(socket)
			if (rest !== '') await sleep(1)
		}
	}

	private breakOff(socket: Socket, { break: end, isChunked }: RunPlan, next: string): void {
		const length = 1 + Math.floor(this.options.random() * (next.length - 2))
		const part = end?.isInside ? next.slice(0, length) : ''
		if (part !== '') socket.write(isChunked ? chunkOf(part) : part)
		if (!end?.isReset) socket.end()
		// A reset may overtake what was written before it.
		else setTimeout(() => socket.resetAndDestroy(), POLL_MS)
	}

	/** Waits for this time, and while the target is silent. */
	private async pause(socket: Socket, ms: number): Promise<void> {
		const until = performance.now() + ms
		for (;;) {
			const left = Math.max(until, this.silentUntil) - performance.now()
			if (left <= 0 || socket.destroyed) return
			await sleep(Math.min(left, POLL_MS))
		}
	}

	private async drained(socket: Socket): Promise<void> {
		await new Promise<void>((resolve) => {
			socket.once('drain', resolve)
			socket.once('close', () => resolve())
			if (socket.destroyed) resolve()
		})
	}
}

function readHead(text: string): ReceivedHead {
	const [first, ...lines] = text.split('\r\n')
	const headers = new Map(
		lines.map((line) => {
			const at = line.indexOf(':')
			return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()] as const
		}),
	)
	return { path: first?.split(' ')[1] ?? '', header: (name) => headers.get(name) }
}

function statusHead(status: number, requestId: string, more: string): string {
	return `HTTP/1.1 ${status} Status\r\nrequest-id: ${requestId}\r\n${more}\r\ncontent-length: 0\r\n\r\n`
}

function chunkOf(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`
}

/** Index of the first piece that a run writes. */
function firstIndex(path: string, lastEventId: number | undefined, { takeUp }: RunPlan): number {
	const index = indexAfter(streamLayoutOf(path), lastEventId)
	if (takeUp === 'begins again') return 0
	return takeUp === 'repeats the last piece' ? Math.max(0, index - 1) : index
}
