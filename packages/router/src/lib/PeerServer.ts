import {
	createSecureServer,
	createServer,
	type Http2Server,
	type Http2SecureServer,
	type ServerHttp2Session,
} from 'node:http2'
import type { AddressInfo } from 'node:net'
import { create } from '@bufbuild/protobuf'
import type { ConnectRouter, HandlerContext } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { BoxName, PeerMessage } from '@stallwing/core'
import {
	GetBundleResponseSchema,
	PeerService,
	decodeMessage,
	type Frame,
	type GetBundleRequest,
	type LinkReply,
	type RelayChunk,
	type RelayRequest,
} from '@stallwing/wire'
import createDebug from 'debug'
import type { Metrics } from '@stallwing/telemetry'
import type { PeerTls } from './peerTransport.js'

const debug = createDebug('stallwing:peer')

/** Handlers of the requests that other boxes send. */
export interface PeerHandlers {
	onMessage(from: BoxName, message: PeerMessage): void
	relay(request: RelayRequest, signal: AbortSignal): AsyncIterable<RelayChunk>
	bundleDocument(version: number): string
}

/** HTTP/2 server for other boxes; uses mTLS if keys are given. */
export class PeerServer {
	private readonly server: Http2Server | Http2SecureServer
	private readonly sessions = new Set<ServerHttp2Session>()

	constructor(
		private readonly handlers: PeerHandlers,
		private readonly metrics: Metrics,
		tls: PeerTls | undefined,
	) {
		const adapter = connectNodeAdapter({ routes: (router) => this.registerRoutes(router) })
		this.server = tls
			? createSecureServer({ ...tls, requestCert: true, rejectUnauthorized: true }, adapter)
			: createServer(adapter)
		this.server.on('session', (session) => {
			this.sessions.add(session)
			session.on('close', () => this.sessions.delete(session))
		})
		this.server.on('tlsClientError', (error: Error) => {
			this.metrics.count('stallwing_peer_refused_total')
			debug('TLS handshake with a peer failed: %s', error.message)
		})
	}

	/** Starts listening and returns the port. */
	async listen(host: string, port: number): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, resolve)
		})
		return (this.server.address() as AddressInfo).port
	}

	async close(): Promise<void> {
		for (const session of this.sessions) session.destroy()
		await new Promise<void>((resolve) => this.server.close(() => resolve()))
	}

	private registerRoutes(router: ConnectRouter): void {
		router.service(PeerService, {
			link: (frames: AsyncIterable<Frame>) => this.receiveFrames(frames),
			relay: (request: RelayRequest, context: HandlerContext) =>
				this.handlers.relay(request, context.signal),
			getBundle: (request: GetBundleRequest) => {
				const document = this.handlers.bundleDocument(request.version)
				return create(GetBundleResponseSchema, { document })
			},
		})
	}

	private async *receiveFrames(frames: AsyncIterable<Frame>): AsyncGenerator<LinkReply> {
		for await (const frame of frames) this.receiveFrame(frame)
		// A box sends messages only over streams that it opened, so this response stream stays empty.
		yield* []
	}

	private receiveFrame(frame: Frame): void {
		const from = frame.from as BoxName
		for (const bytes of frame.messages) {
			const message = decodeMessage(bytes)
			if (!message) continue
			const labels = `kind="${message.kind}"`
			this.metrics.count('stallwing_peer_messages_received_total', labels)
			this.metrics.count('stallwing_peer_bytes_received_total', labels, bytes.length)
			this.handlers.onMessage(from, message)
		}
	}
}
