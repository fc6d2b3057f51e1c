import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { brandId, type AccountName } from '@stallwing/core'
import { listenOn, type ListenAddress } from './listenOn.js'

/** Path on which a box asks another for tokens. */
export const LEND_PATH = '/lend'

/** What other boxes may ask of this one. */
export interface PeerHandlers {
	/** Hands over tokens of an account; says how many. */
	lend(account: AccountName, tokens: number): number
}

/** Serves the other boxes. Callers do not reach it. */
export class PeerServer {
	private readonly server: Server

	constructor(private readonly handlers: PeerHandlers) {
		this.server = createServer({ keepAlive: true }, (message, response) =>
			this.handle(message, response),
		)
	}

	async listen(address: ListenAddress): Promise<number> {
		return listenOn(this.server, address)
	}

	close(): void {
		this.server.close()
		this.server.closeAllConnections()
	}

	private handle(message: IncomingMessage, response: ServerResponse): void {
		const url = new URL(message.url ?? '/', 'http://box')
		if (message.method !== 'POST' || url.pathname !== LEND_PATH) {
			response.writeHead(404).end()
			return
		}
		const account = url.searchParams.get('account') ?? ''
		const tokens = Number(url.searchParams.get('tokens'))
		if (account === '' || !Number.isSafeInteger(tokens) || tokens <= 0) {
			response.writeHead(400).end()
			return
		}
		const lent = this.handlers.lend(brandId<AccountName>(account), tokens)
		const body = JSON.stringify({ lent })
		response.writeHead(200, { 'Content-Type': 'application/json' }).end(body)
	}
}
