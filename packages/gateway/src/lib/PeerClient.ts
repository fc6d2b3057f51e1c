import type { Socket } from 'node:net'
import type { AccountName, BoxName, ServiceName, StoreRevision, TargetWork } from '@stallwing/core'
import {
	AnswerTimeouts,
	HttpClient,
	LATE_ANSWER_TIMEOUT_MS,
	type HttpRequest,
} from '@stallwing/store'
import {
	EMPTY_LEND_RESPONSE,
	type RemainingBudget,
	type LendResponse,
	type LendRequest,
	type TokenPeers,
} from './TokenLending.js'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { decodeFeedResponse } from './feed/feedCodec.js'
import type { FeedResponse } from './feed/handleFeedRequest.js'
import type { FeedPeers } from './feed/PeerFeedReader.js'
import { parseAddress } from './parseAddress.js'
import { ORIGIN_PATH, decodeOriginResponse } from './streams/originResponseCodec.js'
import type { OriginResponse } from './streams/OriginLookup.js'
import { fromWireWork } from './workCodec.js'
import { ACCEPT_PATH, CHANGES_PATH, DRAWS_PATH, LEND_PATH, OPEN_PATH } from './PeerServer.js'

/** Long, because tokens in a response that arrives after the timeout are lost to both boxes. */
const LEND_TIMEOUT_MS = 1_500
/** A timeout that fires more than this after its due time shows that this box was overloaded, in ms. */
const LOCAL_DELAY_TOLERANCE_MS = 40
/** Timeout of calls that return only a status while answers are not late, in ms. */
const STATUS_TIMEOUT_MS = 160
const MAX_CONNECTIONS = 6
/**
 * Connections for the calls of two prefixes, of which late ones stay open beside newer ones. These are separate from
 * other calls because an unanswered lending call occupies its connection for up to 1.5 s.
 */
const MAX_CHANGES_CONNECTIONS = 8
/** Time for which a box that did not answer is not asked for tokens again, in ms. */
const BACKOFF_MS = 1_500

/** HTTP client for the {@link PeerServer} of other boxes. */
export class PeerClient implements TokenPeers, FeedPeers {
	private readonly clients = new Map<string, HttpClient>()
	private readonly changesClients = new Map<string, HttpClient>()
	/** For each box that did not answer, the time until which it is not asked again. */
	private readonly backoffUntil = new Map<string, number>()
	private readonly timeouts: AnswerTimeouts

	constructor(
		private readonly box: BoxName,
		private readonly now: () => number,
		/** Called with the work of all other boxes when a response contains it. */
		private readonly onFleetWork: (work: readonly TargetWork[]) => void,
		/** Called with each new connection; undefined if nothing counts its bytes. */
		private readonly onConnection?: (socket: Socket) => void,
		/** True while the link of this box delays all responses. */
		private readonly isLinkSaturated: () => boolean = () => false,
	) {
		this.timeouts = new AnswerTimeouts(now, STATUS_TIMEOUT_MS)
	}

	get answerTimeoutMs(): number {
		return this.timeouts.limitMs
	}

	async requestTokens(
		address: string,
		account: AccountName,
		request: LendRequest,
	): Promise<LendResponse> {
		if (this.isBackingOff(address)) return EMPTY_LEND_RESPONSE
		const { tokens, ahead } = request
		const fields = { account, tokens: String(tokens), ahead: String(ahead), box: this.box }
		const startedAt = this.now()
		try {
			const path = `${LEND_PATH}?${new URLSearchParams(fields)}`
			const response = await this.clientFor(address).send({
				method: 'POST',
				path,
				timeoutMs: LEND_TIMEOUT_MS,
			})
			if (response.status !== 200) throw new Error(`status ${response.status}`)
			this.backoffUntil.delete(address)
			return this.parseLendResponse(response.text)
		} catch {
			// Tokens of a lost response stay counted as spent at the lender, so they cannot be spent twice.
			// If this box or its link was overloaded, the other box may be fine.
			const isLocalDelay =
				this.isLinkSaturated() ||
				this.now() - startedAt >= LEND_TIMEOUT_MS + LOCAL_DELAY_TOLERANCE_MS
			if (!isLocalDelay) this.backoffUntil.set(address, this.now() + BACKOFF_MS)
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
		// Late changes are still of use, and other boxes are asked meanwhile.
		const timeoutMs = waitMs + LATE_ANSWER_TIMEOUT_MS
		try {
			const client = this.getOrCreateClient(this.changesClients, address, MAX_CHANGES_CONNECTIONS)
			const response = await client.send({ method: 'GET', path, timeoutMs })
			if (response.status !== 200) return undefined
			const changes = decodeFeedResponse(response.text, after.era)
			if (changes?.heldMs !== undefined)
				this.timeouts.recordAnswer(response.tookMs - changes.heldMs, LATE_ANSWER_TIMEOUT_MS)
			return changes
		} catch {
			return undefined
		}
	}

	/** Asks a box where a stream began; undefined if it does not answer, or runs an earlier version. */
	async fetchStreamOrigin(
		address: string,
		request: string,
		service: ServiceName,
	): Promise<OriginResponse | undefined> {
		const path = `${ORIGIN_PATH}?${new URLSearchParams({ request, service })}`
		try {
			const client = this.clientFor(address)
			const timeoutMs = this.answerTimeoutMs
			const response = await client.send({ method: 'GET', path, timeoutMs })
			return response.status === 200 ? decodeOriginResponse(response.text) : undefined
		} catch {
			return undefined
		}
	}

	async sendDraws(address: string, draws: ReplicatedDraws): Promise<boolean> {
		const request = { method: 'POST', path: DRAWS_PATH, body: draws } as const
		return (await this.requestStatus(address, request, LATE_ANSWER_TIMEOUT_MS)) === 200
	}

	async isReachable(address: string): Promise<boolean> {
		return (await this.requestStatus(address, { method: 'GET', path: OPEN_PATH })) === 200
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
		const path = `${ACCEPT_PATH}?${query}`
		return (await this.requestStatus(address, { method: 'POST', path })) === 200
	}

	/** Returns the HTTP status, or undefined if the box did not answer. */
	private async requestStatus(
		address: string,
		request: Omit<HttpRequest, 'timeoutMs'>,
		timeoutMs = this.answerTimeoutMs,
	): Promise<number | undefined> {
		try {
			const { status, tookMs } = await this.clientFor(address).send({ ...request, timeoutMs })
			this.timeouts.recordAnswer(tookMs, timeoutMs)
			return status
		} catch {
			return undefined
		}
	}

	private isBackingOff(address: string): boolean {
		return (this.backoffUntil.get(address) ?? 0) > this.now()
	}

	private clientFor(address: string): HttpClient {
		return this.getOrCreateClient(this.clients, address, MAX_CONNECTIONS)
	}

	private getOrCreateClient(
		clients: Map<string, HttpClient>,
		address: string,
		maxConnections: number,
	): HttpClient {
		const existing = clients.get(address)
		if (existing) return existing
		const client = new HttpClient({ ...parseAddress(address), maxConnections })
		if (this.onConnection) client.onConnection(this.onConnection)
		clients.set(address, client)
		return client
	}

	/** @throws SyntaxError if the text is not valid JSON. */
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

/** Parses rows of an account and its remaining tokens. Returns an empty list if the value is not a list. */
function parseNearlySpent(rows: unknown): readonly RemainingBudget[] {
	if (!Array.isArray(rows)) return []
	return (rows as readonly (readonly [AccountName, number])[]).map(([account, left]) => ({
		account,
		left,
	}))
}
