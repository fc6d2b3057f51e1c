import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { ownLoopbackHost } from '@stallwing/standins'
import type { ListenAddress } from '../listenOn.js'
import { parseAddress } from '../parseAddress.js'

/**
 * How a link is cut.
 * - `reset`: open connections are reset and new ones are refused.
 * - `refuse`: open connections live on and new ones are refused.
 * - `hang`: open connections fall silent and new ones get no answer.
 */
export type LinkCut = 'reset' | 'refuse' | 'hang'

/** Time after which a connection that is not established shows that the queue of the listener is full, in ms. */
const FULL_QUEUE_MS = 60

/** For tests: the path of one box to one target, as a relay on loopback that can be cut and healed. */
export class TestTargetLink {
	private server: Server | undefined
	private silentListener: SilentListener | undefined
	private readonly host = ownLoopbackHost()
	private isSilent = false
	private readonly sockets = new Set<Socket>()

	/** @param port - Port of the link at its own host; 0 stands for any free port. */
	constructor(
		private readonly targetAddress: string,
		private port = 0,
	) {}

	get address(): string {
		return `${this.host}:${this.port}`
	}

	async start(): Promise<void> {
		const server = createServer((socket) => this.relay(socket))
		await new Promise<void>((resolve) => server.listen(this.port, this.host, resolve))
		this.port = (server.address() as AddressInfo).port
		this.server = server
	}

	async cut(kind: LinkCut): Promise<void> {
		this.server?.close()
		if (kind === 'reset') this.resetAll()
		if (kind !== 'hang') return
		this.isSilent = true
		for (const socket of this.sockets) socket.pause()
		this.silentListener = new SilentListener({ host: this.host, port: this.port })
		await this.silentListener.start()
	}

	async heal(): Promise<void> {
		if (this.isSilent) this.resetAll()
		this.isSilent = false
		await this.silentListener?.stop()
		this.silentListener = undefined
		await this.start()
	}

	async stop(): Promise<void> {
		this.server?.close()
		this.resetAll()
		await this.silentListener?.stop()
	}

	private relay(caller: Socket): void {
		const target = connect(parseAddress(this.targetAddress))
		this.join(caller, target)
		this.join(target, caller)
	}

	private join(from: Socket, to: Socket): void {
		this.sockets.add(from)
		from.on('data', (bytes) => {
			if (!this.isSilent) to.write(bytes)
		})
		from.on('end', () => to.end())
		from.on('error', () => to.resetAndDestroy())
		from.on('close', () => {
			this.sockets.delete(from)
			if (!this.isSilent) to.destroy()
		})
	}

	private resetAll(): void {
		for (const socket of this.sockets) socket.resetAndDestroy()
	}
}

/** Listens in a blocked thread, so that no connection is accepted, and fills the queue of connections. */
class SilentListener {
	private readonly signal = new Int32Array(new SharedArrayBuffer(4))
	private readonly queued: Socket[] = []
	private worker: Worker | undefined

	constructor(private readonly address: ListenAddress) {}

	async start(): Promise<void> {
		const worker = new Worker(LISTENER_CODE, {
			eval: true,
			workerData: { ...this.address, signal: this.signal },
		})
		this.worker = worker
		await new Promise((resolve) => worker.once('message', resolve))
		while (await this.fillsQueue());
	}

	async stop(): Promise<void> {
		Atomics.store(this.signal, 0, 1)
		Atomics.notify(this.signal, 0)
		for (const socket of this.queued) socket.destroy()
		await new Promise((resolve) => this.worker?.once('exit', resolve))
	}

	/** Opens a connection. Returns false if it is not established, because the queue is full. */
	private async fillsQueue(): Promise<boolean> {
		const socket = connect(this.address)
		socket.on('error', () => undefined)
		this.queued.push(socket)
		return new Promise((resolve) => {
			socket.once('connect', () => resolve(true))
			setTimeout(() => resolve(false), FULL_QUEUE_MS)
		})
	}
}

const LISTENER_CODE = `
	const { createServer } = require('node:net')
	const { parentPort, workerData } = require('node:worker_threads')
	const { host, port, signal } = workerData
	createServer().listen({ host, port, backlog: 1 }, () => {
		parentPort.postMessage('listening')
		Atomics.wait(signal, 0, 0)
		process.exit()
	})
`
