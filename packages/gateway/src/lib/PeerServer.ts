import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
	brandId,
	type AccountName,
	type BoxName,
	type ServiceName,
	type TargetWork,
} from '@stallwing/core'
import type { BoundedServer } from '@stallwing/http'
import type { RequestedRevision } from './feed/FeedRelay.js'
import { encodeFeedResponse } from './feed/feedCodec.js'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { readReplicatedDraws } from './readReplicatedDraws.js'
import type { FeedResponse } from './feed/handleFeedRequest.js'
import type { LendResponse, LendRequest } from './TokenLending.js'
import { toWireWork } from './workCodec.js'
import { ORIGIN_PATH, encodeOriginResponse } from './streams/originResponseCodec.js'
import type { OriginResponse } from './streams/OriginLookup.js'
import { FORWARD_PATH } from './forwarding/forwardCodec.js'
import { listenOn, type ListenAddress } from './listenOn.js'

/** Endpoint that lends tokens to the requesting box. */
export const LEND_PATH = '/lend'
/** Endpoint that accepts tokens from a stopping box. */
export const ACCEPT_PATH = '/accept'
/** Endpoint that shows whether this box accepts tokens. */
export const OPEN_PATH = '/open'
/** Endpoint that stores a replica of the draws of the requesting box. */
export const DRAWS_PATH = '/draws'
/** Endpoint that waits for changes in the store. */
export const CHANGES_PATH = '/changes'

/** Handlers of the requests from other boxes. */
export interface PeerHandlers {
	/** Lends tokens of an account. Resolves to undefined if this box has returned all its tokens. */
	lend(account: AccountName, request: LendRequest): Promise<LendResponse | undefined>
	/** Returns the work at targets of all boxes except the requesting box, to be sent with the response. */
	fleetWork(requestingBox: BoxName): readonly TargetWork[]
	/** Accepts tokens that were held under a version of the budgets. Returns false if this box cannot use them. */
	acceptTokens(account: AccountName, tokens: number, budgetsVersion: number): boolean
	/**
	 * Stores the draws of another box. Returns false if they are of an earlier store era or this box cannot use
	 * them yet.
	 */
	storeDraws(draws: ReplicatedDraws): boolean
	/** What this box knows about a stream, by the request that began it. */
	streamOrigin(request: string, service: ServiceName): OriginResponse
	canAcceptTokens(): boolean
	/** Waits up to `waitMs` for changes below a prefix after a revision. */
	waitForChanges(prefix: string, after: RequestedRevision, waitMs: number): Promise<FeedResponse>
	/** Sends a request to a target on behalf of another box, and passes on the response. */
	forward(request: IncomingMessage, response: ServerResponse): Promise<void>
}

/** HTTP server for other boxes. It must not be reachable for callers of the service. */
export class PeerServer {
	/** `onConnection` is called with each new connection. */
	constructor(
		private readonly server: BoundedServer,
		private readonly handlers: PeerHandlers,
		onConnection?: (socket: Socket) => void,
	) {
		server.on('request', (request: IncomingMessage, response: ServerResponse) => {
			void this.handle(request, response)
		})
		if (onConnection) server.on('connection', onConnection)
	}

	async listen(address: ListenAddress): Promise<number> {
		return listenOn(this.server, address)
	}

	close(): void {
		this.server.close()
		this.server.closeAllConnections()
	}

	private async sendChanges(url: URL, response: ServerResponse): Promise<void> {
		const prefix = url.searchParams.get('prefix') ?? ''
		const era = url.searchParams.get('era')
		const after: RequestedRevision = {
			era: era === null ? undefined : Number(era),
			number: Number(url.searchParams.get('after')),
		}
		const waitMs = Number(url.searchParams.get('waitMs'))
		const isValid = [after.era ?? 0, after.number, waitMs].every(Number.isSafeInteger)
		if (prefix === '' || !isValid) {
			response.writeHead(400).end()
			return
		}
		const result = await this.handlers.waitForChanges(prefix, after, waitMs)
		sendJson(response, 200, encodeFeedResponse(result))
	}

	private async lend(
		account: AccountName,
		tokens: number,
		url: URL,
		response: ServerResponse,
	): Promise<void> {
		const ahead = Math.max(0, Number(url.searchParams.get('ahead')) || 0)
		const result = await this.handlers.lend(account, { tokens, ahead })
		const requestingBox = brandId<BoxName>(url.searchParams.get('box') ?? '')
		const work = toWireWork(this.handlers.fleetWork(requestingBox))
		const nearlySpent = result?.nearlySpent.map(({ account: name, left }) => [
			name,
			Math.round(left),
		])
		sendJson(response, result ? 200 : 503, { ...result, nearlySpent, work })
	}

	private accept(account: AccountName, tokens: number, url: URL): boolean {
		const budgetsVersion = Number(url.searchParams.get('budgetsVersion'))
		return (
			Number.isSafeInteger(budgetsVersion) &&
			this.handlers.acceptTokens(account, tokens, budgetsVersion)
		)
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://box')
		if (url.pathname === OPEN_PATH) {
			response.writeHead(this.handlers.canAcceptTokens() ? 200 : 503).end()
			return
		}
		if (url.pathname === DRAWS_PATH) {
			const draws = await readReplicatedDraws(request)
			response.writeHead(draws && this.handlers.storeDraws(draws) ? 200 : 503).end()
			return
		}
		if (url.pathname === FORWARD_PATH) {
			await this.handlers.forward(request, response)
			return
		}
		if (url.pathname === ORIGIN_PATH) {
			const service = brandId<ServiceName>(url.searchParams.get('service') ?? '')
			const known = this.handlers.streamOrigin(url.searchParams.get('request') ?? '', service)
			sendJson(response, 200, encodeOriginResponse(known))
			return
		}
		if (url.pathname === CHANGES_PATH) {
			await this.sendChanges(url, response)
			return
		}
		const account = brandId<AccountName>(url.searchParams.get('account') ?? '')
		const tokens = Number(url.searchParams.get('tokens'))
		if (account === '' || !Number.isSafeInteger(tokens) || tokens <= 0) {
			response.writeHead(400).end()
			return
		}
		if (request.method === 'POST' && url.pathname === LEND_PATH)
			await this.lend(account, tokens, url, response)
		else if (request.method === 'POST' && url.pathname === ACCEPT_PATH)
			sendJson(response, this.accept(account, tokens, url) ? 200 : 503, {})
		else response.writeHead(404).end()
	}
}

function sendJson(response: ServerResponse, status: number, body: object): void {
	response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}
