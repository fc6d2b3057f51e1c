import type { AccountName, BoxName, StoreRevision, TargetWork } from '@stallwing/core'
import { HttpClient } from '@stallwing/store'
import {
	EMPTY_LEND_RESPONSE,
	type RemainingBudget,
	type LendResponse,
	type LendRequest,
	type TokenPeers,
} from './TokenLending.js'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { decodeFeedResponse } from './feedCodec.js'
import type { FeedResponse } from './handleFeedRequest.js'
import type { FeedPeers } from './PeerFeedReader.js'
import { parseAddress } from './parseAddress.js'
import { fromWireWork } from './workCodec.js'
import { ACCEPT_PATH, CHANGES_PATH, DRAWS_PATH, LEND_PATH, OPEN_PATH } from './PeerServer.js'

/** Longest wait for an answer, in ms: what a box lends is not lost where it is late. */
const LEND_TIMEOUT_MS = 1_500
/** A time-out that comes later than this after its time is one of a busy box, in ms. */
const LOCAL_DELAY_TOLERANCE_MS = 40
/** Longest wait for the short answer of a box that stops or is asked whether it is there, in ms. */
const STATUS_TIMEOUT_MS = 160
/** Time beyond the wait that an answer about changes may take, in ms. */
const CHANGES_TIMEOUT_MARGIN_MS = 300
const MAX_CONNECTIONS = 6
/**
 * Connections to a box for calls about changes: one for each prefix that waits, one for a call that is given
 * up. Calls for tokens that nobody answers hold theirs for up to 1.5 s.
 */
const MAX_CHANGES_CONNECTIONS = 3
/** Time for which a box that did not answer is not asked again, in ms. */
const BACKOFF_MS = 1_500

/** Asks other boxes. */
export class PeerClient implements TokenPeers, FeedPeers {
	private readonly clients = new Map<string, HttpClient>()
	private readonly changesClients = new Map<string, HttpClient>()
	/** Boxes that did not answer, and until when they are not asked. */
	private readonly backoffUntil = new Map<string, number>()

	constructor(
		private readonly box: BoxName,
		private readonly now: () => number,
		/** Work of all other boxes that came with an answer. */
		private readonly onFleetWork: (work: readonly TargetWork[]) => void,
	) {}

	async requestTokens(
		address: string,
		account: AccountName,
		request: LendRequest,
	): Promise<LendResponse> {
		if (this.isBackingOff(address)) return EMPTY_LEND_RESPONSE
		const { tokens, ahead } = request
		const fields = { account, tokens: String(tokens), ahead: String(ahead), box: this.box }
		const began = this.now()
		try {
			const path = `${LEND_PATH}?${new URLSearchParams(fields)}`
			const reply = await this.clientFor(address).send({
				method: 'POST',
				path,
				timeoutMs: LEND_TIMEOUT_MS,
			})
			if (reply.status !== 200) throw new Error(`status ${reply.status}`)
			this.backoffUntil.delete(address)
			return this.parseLendResponse(reply.text)
		} catch {
			// Tokens of a lost answer stay counted as spent at the lender: nobody can spend them.
			// A box that was busy itself for longer than the wait says nothing about the other.
			if (this.now() - began < LEND_TIMEOUT_MS + LOCAL_DELAY_TOLERANCE_MS)
				this.backoffUntil.set(address, this.now() + BACKOFF_MS)
			return EMPTY_LEND_RESPONSE
		}
	}

	async fetchChanges(
		address: string,
		prefix: string,
		after: StoreRevision,
		waitMs: number,
	): Promise<FeedResponse | undefined> {
		const fields = {
			prefix,
			era: String(after.era),
			after: String(after.number),
			waitMs: String(waitMs),
		}
		const path = `${CHANGES_PATH}?${new URLSearchParams(fields)}`
		const timeoutMs = waitMs + CHANGES_TIMEOUT_MARGIN_MS
		try {
			const caller = getOrCreateClient(this.changesClients, address, MAX_CHANGES_CONNECTIONS)
			const reply = await caller.send({ method: 'GET', path, timeoutMs })
			return reply.status === 200 ? decodeFeedResponse(reply.text, after.era) : undefined
		} catch {
			return undefined
		}
	}

	async sendDraws(address: string, told: ReplicatedDraws): Promise<boolean> {
		return (await this.requestStatus(address, 'POST', DRAWS_PATH, told)) === 200
	}

	async isReachable(address: string): Promise<boolean> {
		return (await this.requestStatus(address, 'GET', OPEN_PATH)) === 200
	}

	async transferTokens(
		address: string,
		account: AccountName,
		tokens: number,
		budgetsVersion: number,
	): Promise<boolean> {
		const query = new URLSearchParams({
			account,
			tokens: String(tokens),
			budgetsVersion: String(budgetsVersion),
		})
		return (await this.requestStatus(address, 'POST', `${ACCEPT_PATH}?${query}`)) === 200
	}

	/** Status of the answer; undefined without one. */
	private async requestStatus(
		address: string,
		method: 'GET' | 'POST',
		path: string,
		body?: unknown,
	): Promise<number | undefined> {
		try {
			return (
				await this.clientFor(address).send({ method, path, body, timeoutMs: STATUS_TIMEOUT_MS })
			).status
		} catch {
			return undefined
		}
	}

	private isBackingOff(address: string): boolean {
		return (this.backoffUntil.get(address) ?? 0) > this.now()
	}

	private clientFor(address: string): HttpClient {
		return getOrCreateClient(this.clients, address, MAX_CONNECTIONS)
	}

	/** @throws where the text is no JSON document. */
	private parseLendResponse(text: string): LendResponse {
		const body = JSON.parse(text) as Partial<Record<keyof LendResponse | 'work', unknown>>
		const work = fromWireWork(body.work)
		if (work) this.onFleetWork(work)
		const lent = typeof body.lent === 'number' ? body.lent : 0
		const budgetsVersion = typeof body.budgetsVersion === 'number' ? body.budgetsVersion : 0
		const left = typeof body.left === 'number' ? body.left : Number.POSITIVE_INFINITY
		const free = typeof body.free === 'number' ? body.free : 0
		return { lent, left, free, budgetsVersion, nearlySpent: parseNearlySpent(body.nearlySpent) }
	}
}

/** Rows of an account and what may be left of it; empty where the document is no such list. */
function parseNearlySpent(rows: unknown): readonly RemainingBudget[] {
	if (!Array.isArray(rows)) return []
	return (rows as readonly (readonly [AccountName, number])[]).map(([account, left]) => ({
		account,
		left,
	}))
}

/** The caller of an address, made at the first call. */
function getOrCreateClient(
	callers: Map<string, HttpClient>,
	address: string,
	connections: number,
): HttpClient {
	const known = callers.get(address)
	if (known) return known
	const caller = new HttpClient({ ...parseAddress(address), maxConnections: connections })
	callers.set(address, caller)
	return caller
}
