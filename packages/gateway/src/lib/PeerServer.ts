import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { brandId, type AccountName, type BoxName, type TargetWork } from '@stallwing/core'
import type { RequestedRevision } from './FeedRelay.js'
import { encodeFeedResponse } from './feedCodec.js'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { readReplicatedDraws } from './readReplicatedDraws.js'
import type { FeedResponse } from './handleFeedRequest.js'
import type { LendResponse, LendRequest } from './TokenLending.js'
import { toWireWork } from './workCodec.js'
import { listenOn, type ListenAddress } from './listenOn.js'

/** Path on which a box asks another for tokens. */
export const LEND_PATH = '/lend'
/** Path on which a stopping box gives tokens to another. */
export const ACCEPT_PATH = '/accept'
/** Path that tells whether a box takes tokens. */
export const OPEN_PATH = '/open'

/** Path on which a box tells what it has drawn. */
export const DRAWS_PATH = '/draws'
/** Path on which a box waits for changes in the store. */
export const CHANGES_PATH = '/changes'

/** What other boxes may ask of this one. */
export interface PeerHandlers {
	/** Hands over tokens of an account; undefined where this box has given back all that it held. */
	lend(account: AccountName, request: LendRequest): Promise<LendResponse | undefined>
	/** Work at targets of all boxes but one, to go with an answer to that one. */
	fleetWork(asker: BoxName): readonly TargetWork[]
	/** Takes tokens over that were held under the configuration of a revision; false where this box can't. */
	acceptTokens(account: AccountName, tokens: number, budgetsVersion: number): boolean
	/** Takes what another box has drawn; false where that is of a history that is over. */
	storeDraws(told: ReplicatedDraws): boolean
	/** Whether this box would take tokens over. */
	canAcceptTokens(): boolean
	/** Changes below a prefix after a revision, as soon as there are any. */
	waitForChanges(prefix: string, after: RequestedRevision, waitMs: number): Promise<FeedResponse>
}

/** Serves the other boxes. Callers do not reach it. */
export class PeerServer {
	private readonly server: Server

	constructor(private readonly handlers: PeerHandlers) {
		this.server = createServer(
			{ keepAlive: true },
			(message, response) => void this.handle(message, response),
		)
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
		const isRead = [after.era ?? 0, after.number, waitMs].every(Number.isSafeInteger)
		if (prefix === '' || !isRead) {
			response.writeHead(400).end()
			return
		}
		const answer = await this.handlers.waitForChanges(prefix, after, waitMs)
		sendJson(response, 200, encodeFeedResponse(answer))
	}

	private async lend(
		account: AccountName,
		tokens: number,
		url: URL,
		response: ServerResponse,
	): Promise<void> {
		const ahead = Math.max(0, Number(url.searchParams.get('ahead')) || 0)
		const answer = await this.handlers.lend(account, { tokens, ahead })
		const asker = brandId<BoxName>(url.searchParams.get('box') ?? '')
		const work = toWireWork(this.handlers.fleetWork(asker))
		const nearlySpent = answer?.nearlySpent.map(({ account: name, left }) => [
			name,
			Math.round(left),
		])
		sendJson(response, answer ? 200 : 503, { ...answer, nearlySpent, work })
	}

	private accept(account: AccountName, tokens: number, url: URL): boolean {
		const budgetsVersion = Number(url.searchParams.get('budgetsVersion'))
		return (
			Number.isSafeInteger(budgetsVersion) &&
			this.handlers.acceptTokens(account, tokens, budgetsVersion)
		)
	}

	private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(message.url ?? '/', 'http://box')
		if (url.pathname === OPEN_PATH) {
			response.writeHead(this.handlers.canAcceptTokens() ? 200 : 503).end()
			return
		}
		if (url.pathname === DRAWS_PATH) {
			const told = await readReplicatedDraws(message)
			response.writeHead(told && this.handlers.storeDraws(told) ? 200 : 503).end()
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
		if (message.method === 'POST' && url.pathname === LEND_PATH)
			await this.lend(account, tokens, url, response)
		else if (message.method === 'POST' && url.pathname === ACCEPT_PATH)
			sendJson(response, this.accept(account, tokens, url) ? 200 : 503, {})
		else response.writeHead(404).end()
	}
}

function sendJson(response: ServerResponse, status: number, body: object): void {
	response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}
