import type { AccountName } from '@stallwing/core'
import { Agent, request } from 'undici'
import type { Lenders } from './AllowanceClient.js'
import { LEND_PATH } from './PeerServer.js'

const ASK_MS = 120
/** Time for which a box that did not answer is not asked again, in ms. */
const AVOID_MS = 1_500

/** Asks other boxes. */
export class PeerClient implements Lenders {
	private readonly agent = new Agent({ connections: 2, connect: { timeout: ASK_MS } })
	private readonly avoidUntil = new Map<string, number>()

	constructor(private readonly now: () => number) {}

	async ask(address: string, account: AccountName, tokens: number): Promise<number> {
		if ((this.avoidUntil.get(address) ?? 0) > this.now()) return 0
		const query = new URLSearchParams({ account, tokens: String(Math.ceil(tokens)) })
		try {
			const reply = await request(`http://${address}${LEND_PATH}?${query}`, {
				method: 'POST',
				dispatcher: this.agent,
				signal: AbortSignal.timeout(ASK_MS),
			})
			const body = (await reply.body.json()) as { lent?: unknown }
			return typeof body.lent === 'number' && reply.statusCode === 200 ? body.lent : 0
		} catch {
			// Tokens of a lost answer stay counted as spent at the lender: nobody can spend them.
			this.avoidUntil.set(address, this.now() + AVOID_MS)
			return 0
		}
	}
}
