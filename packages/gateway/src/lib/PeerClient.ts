import type { AccountName } from '@stallwing/core'
import { HttpCaller } from '@stallwing/store'
import type { Lenders } from './TokenLending.js'
import { ACCEPT_PATH, LEND_PATH, OPEN_PATH } from './PeerServer.js'

const ASK_MS = 120
const CONNECTIONS = 4
/** Time for which a box that did not answer is not asked again, in ms. */
const AVOID_MS = 1_500

/** Asks other boxes. */
export class PeerClient implements Lenders {
	private readonly callers = new Map<string, HttpCaller>()
	private readonly avoidUntil = new Map<string, number>()

	constructor(private readonly now: () => number) {}

	async ask(address: string, account: AccountName, tokens: number): Promise<number> {
		if ((this.avoidUntil.get(address) ?? 0) > this.now()) return 0
		const query = new URLSearchParams({ account, tokens: String(Math.ceil(tokens)) })
		try {
			const path = `${LEND_PATH}?${query}`
			const reply = await this.caller(address).send({ method: 'POST', path, timeoutMs: ASK_MS })
			const body = JSON.parse(reply.text) as { lent?: unknown }
			return typeof body.lent === 'number' && reply.status === 200 ? body.lent : 0
		} catch {
			// Tokens of a lost answer stay counted as spent at the lender: nobody can spend them.
			this.avoidUntil.set(address, this.now() + AVOID_MS)
			return 0
		}
	}

	async isOpen(address: string): Promise<boolean> {
		return (await this.statusOf(address, 'GET', OPEN_PATH)) === 200
	}

	async give(address: string, account: AccountName, tokens: number): Promise<boolean> {
		const query = new URLSearchParams({ account, tokens: String(tokens) })
		return (await this.statusOf(address, 'POST', `${ACCEPT_PATH}?${query}`)) === 200
	}

	/** Status of the answer; undefined without one. */
	private async statusOf(
		address: string,
		method: 'GET' | 'POST',
		path: string,
	): Promise<number | undefined> {
		try {
			return (await this.caller(address).send({ method, path, timeoutMs: ASK_MS })).status
		} catch {
			return undefined
		}
	}

	private caller(address: string): HttpCaller {
		const known = this.callers.get(address)
		if (known) return known
		const [host = '', port = ''] = address.split(':')
		const caller = new HttpCaller({ host, port: Number(port), connections: CONNECTIONS })
		this.callers.set(address, caller)
		return caller
	}
}
