import { createSocket, type Socket as DatagramSocket } from 'node:dgram'
import { connect, createServer, type Server, type Socket } from 'node:net'
import type { EraResponse, StoreConnection, StoreFault } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'

/** How the store treats the calls of a box. */
export type StoreMode = 'answers' | 'silent' | 'refuses' | 'late' | 'silent about targets'

const TARGETS_PREFIX = 'targets/'
const BOX_PREFIX = 'box/'
/** Time after the end of its wait at which a call without an answer fails, in ms. */
const CALL_TIMEOUT_MS = 1_500
/** Delay of late answers, in ms. */
const LATE_MS = 1_000
const REFUSAL: StoreFault = { kind: 'refused', status: 503 }
const NO_ANSWER: StoreFault = { kind: 'no-answer', cause: 'cut off' }

/** For tests: the paths of boxes to the store and to each other, which can be cut without a sign. */
export class TestBoxLinks {
	private readonly storeModes = new Map<string, StoreMode>()
	private readonly peerPorts = new Map<string, number>()
	private readonly links = new Map<string, Promise<PeerLink>>()
	private isCut: (from: string, to: string) => boolean = () => false
	/** Incremented with each change of the paths to the store. */
	private storeChanges = 0

	/** Sets how the store treats a box. Calls that are open when it falls silent get no answer. */
	setStoreMode(box: string, mode: StoreMode): void {
		this.storeModes.set(box, mode)
		this.storeChanges++
	}

	/** Cuts pairs of boxes off from each other, in place of those before. Connections that lost bytes end when a path is back. */
	async cutPeers(isCut: (a: string, b: string) => boolean): Promise<void> {
		this.isCut = (from, to) => isCut(from, to) || isCut(to, from)
		for (const link of await Promise.all(this.links.values())) link.endBrokenConnections()
	}

	/** Sets the port at which a box listens for other boxes; undefined while it does not run. */
	async setPeerPort(box: string, port: number | undefined): Promise<void> {
		if (port === undefined) this.peerPorts.delete(box)
		else this.peerPorts.set(box, port)
		for (const [key, link] of this.links) if (key.endsWith(` ${box}`)) (await link).endConnections()
	}

	async stop(): Promise<void> {
		for (const link of await Promise.all(this.links.values())) link.stop()
	}

	/** The store as a box reaches it; other boxes are listed at addresses on the path to them. */
	storeFor(box: string, store: StoreConnection): StoreConnection {
		return {
			list: async (prefix, isStale) => {
				const response = await this.call(box, prefix, 0, () => store.list(prefix, isStale))
				if (E.isLeft(response.result)) return response
				const { at, items } = response.result.right
				const mapped = await Promise.all(items.map((item) => this.withLinkAddress(box, item)))
				return { ...response, result: E.right({ at, items: mapped }) }
			},
			watch: (prefix, after, waitMs) =>
				this.call(box, prefix, waitMs, () => store.watch(prefix, after, waitMs)),
			read: (key, isStale) => this.call(box, key, 0, () => store.read(key, isStale)),
			write: (key, value, expected, lease) =>
				this.call(box, key, 0, () => store.write(key, value, expected, lease)),
			lease: (ttlMs) => this.call(box, '', 0, () => store.lease(ttlMs)),
			ping: () => this.call(box, '', 0, () => store.ping()),
		}
	}

	private async call<T>(
		box: string,
		prefix: string,
		waitMs: number,
		perform: () => Promise<EraResponse<T>>,
	): Promise<EraResponse<T>> {
		const startedAt = performance.now()
		const { storeChanges } = this
		if (this.storeModes.get(box) === 'refuses') return { era: undefined, result: E.left(REFUSAL) }
		const isSilentFromStart = this.isSilent(box, prefix)
		const response = isSilentFromStart ? undefined : await perform()
		if (this.storeModes.get(box) === 'late') await sleep(LATE_MS)
		const hasBeenCut = storeChanges !== this.storeChanges && this.isSilent(box, prefix)
		if (response && !hasBeenCut) return response
		await sleep(Math.max(0, startedAt + waitMs + CALL_TIMEOUT_MS - performance.now()))
		return { era: undefined, result: E.left(NO_ANSWER) }
	}

	private isSilent(box: string, prefix: string): boolean {
		const mode = this.storeModes.get(box)
		return mode === 'silent' || (mode === 'silent about targets' && prefix === TARGETS_PREFIX)
	}

	/** The item of another box, with the address of the link to it. */
	private async withLinkAddress<T extends { readonly key: string; readonly value: Buffer }>(
		from: string,
		item: T,
	): Promise<T> {
		const to = item.key.slice(BOX_PREFIX.length)
		if (!item.key.startsWith(BOX_PREFIX) || to === nameOf(from)) return item
		const document = JSON.parse(item.value.toString()) as { readonly address: string }
		const address = `127.0.0.1:${(await this.linkOf(from, to)).port}`
		return { ...item, value: Buffer.from(JSON.stringify({ ...document, address })) }
	}

	private linkOf(from: string, to: string): Promise<PeerLink> {
		const key = `${from} ${to}`
		const existing = this.links.get(key)
		if (existing) return existing
		const link = PeerLink.start(
			() => this.peerPorts.get(to),
			() => this.isCut(nameOf(from), to),
		)
		this.links.set(key, link)
		return link
	}
}

/** Name of the box of a process `NAME#GENERATION`. */
function nameOf(process: string): string {
	return process.split('#')[0] ?? ''
}

/** Passes connections and datagrams on to a box, unless the path is cut. */
class PeerLink {
	private readonly connections = new Map<Socket, { hasLostBytes: boolean }>()

	private constructor(
		readonly port: number,
		private readonly server: Server,
		private readonly datagrams: DatagramSocket,
		private readonly peerPort: () => number | undefined,
		private readonly isCut: () => boolean,
	) {
		server.on('connection', (socket: Socket) => this.accept(socket))
		datagrams.on('message', (bytes) => this.passOn(bytes))
		datagrams.on('error', () => undefined)
	}

	static async start(peerPort: () => number | undefined, isCut: () => boolean): Promise<PeerLink> {
		const port = await freePort()
		const server = createServer({ allowHalfOpen: false })
		const datagrams = createSocket('udp4')
		const link = new PeerLink(port, server, datagrams, peerPort, isCut)
		await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve))
		await new Promise<void>((resolve) => datagrams.bind(port, '127.0.0.1', resolve))
		return link
	}

	endBrokenConnections(): void {
		if (this.isCut()) return
		for (const [socket, { hasLostBytes }] of this.connections) if (hasLostBytes) socket.destroy()
	}

	endConnections(): void {
		for (const socket of this.connections.keys()) socket.destroy()
	}

	stop(): void {
		this.endConnections()
		this.server.close()
		this.datagrams.close()
	}

	private accept(socket: Socket): void {
		const state = { hasLostBytes: this.isCut() }
		this.connections.set(socket, state)
		socket.on('close', () => this.connections.delete(socket))
		socket.on('error', () => undefined)
		socket.resume()
		if (state.hasLostBytes) return
		const port = this.peerPort()
		if (port === undefined) {
			socket.destroy()
			return
		}
		const peer = connect({ host: '127.0.0.1', port })
		this.pipe(socket, peer, state)
		this.pipe(peer, socket, state)
		peer.on('error', () => socket.destroy())
	}

	private pipe(source: Socket, sink: Socket, state: { hasLostBytes: boolean }): void {
		source.on('data', (bytes) => {
			if (this.isCut()) state.hasLostBytes = true
			if (!state.hasLostBytes) sink.write(bytes)
		})
		source.on('close', () => {
			if (this.isCut()) state.hasLostBytes = true
			else sink.destroy()
		})
	}

	private passOn(bytes: Buffer): void {
		const port = this.peerPort()
		if (port !== undefined && !this.isCut()) this.datagrams.send(bytes, port, '127.0.0.1')
	}
}
