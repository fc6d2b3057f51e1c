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
import type { FeedPeers } from './PeerFeeds.js'
import { parseAddress } from './parseAddress.js'
import { fromWireWork } from './workCodec.js'
import { ACCEPT_PATH, CHANGES_PATH, DRAWS_PATH, LEND_PATH, OPEN_PATH } from './PeerServer.js'

/** Longest wait for an answer, in ms: what a box lends is not lost where it is late. */
const ASK_MS = 1_500
/** A time-out that comes later than this after its time is one of a busy box, in ms. */
const OWN_LAG_MS = 40
/** Longest wait for the short answer of a box that stops or is asked whether it is there, in ms. */
const STATUS_MS = 160
/** Time beyond the wait that an answer about changes may take, in ms. */
const CHANGES_GRACE_MS = 300
const CONNECTIONS = 6
/**
 * Connections to a box for calls about changes: one for each prefix that waits, one for a call that is given
 * up. Calls for tokens that nobody answers hold theirs for up to 1.5 s.
 */
const CHANGES_CONNECTIONS = 3
/** Time for which a box that did not answer is not asked again, in ms. */
const AVOID_MS = 1_500

/** Asks other boxes. */
export class PeerClient implements TokenPeers, FeedPeers {
	private readonly callers = new Map<string, HttpClient>()
	private readonly changesCallers = new Map<string, HttpClient>()
	/** Boxes that did not answer, and until when they are not asked. */
	private readonly avoidedUntil = new Map<string, number>()

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
		if (this.isAvoided(address)) return EMPTY_LEND_RESPONSE
		const { tokens, ahead } = request
		const fields = { account, tokens: String(tokens), ahead: String(ahead), box: this.box }
		const began = this.now()
		try {
			const path = `${LEND_PATH}?${new URLSearchParams(fields)}`
			const reply = await this.caller(address).send({ method: 'POST', path, timeoutMs: ASK_MS })
			if (reply.status !== 200) throw new Error(`status ${reply.status}`)
			this.avoidedUntil.delete(address)
			return this.readLendAnswer(reply.text)
		} catch {
			// Tokens of a lost answer stay counted as spent at the lender: nobody can spend them.
			// A box that was busy itself for longer than the wait says nothing about the other.
			if (this.now() - began < ASK_MS + OWN_LAG_MS)
				this.avoidedUntil.set(address, this.now() + AVOID_MS)
			return EMPTY_LEND_RESPONSE
		}
	}

	async changes(
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
		const timeoutMs = waitMs + CHANGES_GRACE_MS
		try {
			const caller = callerOf(this.changesCallers, address, CHANGES_CONNECTIONS)
			const reply = await caller.send({ method: 'GET', path, timeoutMs })
			return reply.status === 200 ? decodeFeedResponse(reply.text, after.era) : undefined
		} catch {
			return undefined
		}
	}

	async sendDraws(address: string, told: ReplicatedDraws): Promise<boolean> {
		return (await this.statusOf(address, 'POST', DRAWS_PATH, told)) === 200
	}

	async isReachable(address: string): Promise<boolean> {
		return (await this.statusOf(address, 'GET', OPEN_PATH)) === 200
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
		return (await this.statusOf(address, 'POST', `${ACCEPT_PATH}?${query}`)) === 200
	}

	/** Status of the answer; undefined without one. */
	private async statusOf(
		address: string,
		method: 'GET' | 'POST',
		path: string,
		body?: unknown,
	): Promise<number | undefined> {
		try {
			return (await this.caller(address).send({ method, path, body, timeoutMs: STATUS_MS })).status
		} catch {
			return undefined
		}
	}

	private isAvoided(address: string): boolean {
		return (this.avoidedUntil.get(address) ?? 0) > this.now()
	}

	private caller(address: string): HttpClient {
		return callerOf(this.callers, address, CONNECTIONS)
	}

	/** @throws where the text is no JSON document. */
	private readLendAnswer(text: string): LendResponse {
		const body = JSON.parse(text) as Partial<Record<keyof LendResponse | 'work', unknown>>
		const work = fromWireWork(body.work)
		if (work) this.onFleetWork(work)
		const lent = typeof body.lent === 'number' ? body.lent : 0
		const budgetsVersion = typeof body.budgetsVersion === 'number' ? body.budgetsVersion : 0
		const left = typeof body.left === 'number' ? body.left : Number.POSITIVE_INFINITY
		const free = typeof body.free === 'number' ? body.free : 0
		return { lent, left, free, budgetsVersion, nearlySpent: readNearlySpent(body.nearlySpent) }
	}
}

/** Rows of an account and what may be left of it; empty where the document is no such list. */
function readNearlySpent(rows: unknown): readonly RemainingBudget[] {
	if (!Array.isArray(rows)) return []
	return (rows as readonly (readonly [AccountName, number])[]).map(([account, left]) => ({
		account,
		left,
	}))
}

/** The caller of an address, made at the first call. */
function callerOf(
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
