import type { IncomingMessage } from 'node:http'
import {
	type Account,
	type Route,
	type ServiceName,
	type DeclaredWork,
	type TrafficIndex,
} from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import type { Dialect } from './Dialect.js'
import type { RefusalKind } from './Refusal.js'

/** A valid request of a caller, before its body is read. */
export interface CallerRequest {
	readonly id: string
	readonly method: string
	readonly path: string
	readonly route: Route
	readonly service: ServiceName
	readonly account: Account | undefined
	readonly work: DeclaredWork | undefined
	/** Priority at the target; 0 is the most urgent. */
	readonly rank: number
	/** Time that the caller waits from the arrival of the request, in ms; undefined if not stated. */
	readonly deadlineMs: number | undefined
	/** Id of the last event that the caller has already received; undefined to request the whole stream. */
	readonly lastEventId: string | undefined
	/** Id of the request that brought the first event of the stream that this one resumes; undefined if not stated. */
	readonly resumedRequest: string | undefined
	/** Headers to forward: names and values alternate. */
	readonly headers: readonly string[]
}

/** True if the request may run more than once. */
export function isRepeatable(request: CallerRequest): boolean {
	const { kind, resumable } = request.route
	return kind === 'repeatable' || (kind === 'stream' && resumable)
}

export interface Rejection {
	readonly kind: RefusalKind
	readonly detail: string
}

/** Hop-by-hop headers, which apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
])

const MAX_REQUEST_ID_CHARS = 200
const WHOLE_NUMBER = /^\d{1,12}$/

/** Validates the head of a request against the active configuration. */
export function readCallerRequest(
	message: IncomingMessage,
	traffic: TrafficIndex,
	dialect: Dialect,
): E.Either<Rejection, CallerRequest> {
	const path = message.url ?? ''
	if (!path.startsWith('/')) return reject('malformed', 'path')
	const names = dialect.headers
	const counts = countHeaders(message)
	const single = (name: string): string | undefined => singleHeader(message, counts, name)
	const id = single(names.requestId)
	if (id === undefined || id.length > MAX_REQUEST_ID_CHARS)
		return reject('malformed', names.requestId)
	if (counts.get('host') !== 1) return reject('malformed', 'host')
	if (headerBytes(message) > traffic.config.limits.maxHeaderBytes)
		return reject('header-too-large', 'headers')
	const route = traffic.routeOf(hostOf(message), pathOf(path))
	if (!route) return reject('no-route', `${hostOf(message)} ${pathOf(path)}`)
	const key = dialect.readKey(single)
	const account = key === undefined ? undefined : traffic.accountOfKey(key)
	if (traffic.requiresKeys && !route.isPublic && !account) return reject('no-key', route.name)
	const deadline = message.headers[names.deadline]
	if (deadline !== undefined && !WHOLE_NUMBER.test(String(deadline)))
		return reject('malformed', names.deadline)
	const lastEventId = single(names.lastEvent)
	const resumedRequest = single(names.resumedRequest)
	const isResumedOnce = (counts.get(names.resumedRequest) ?? 0) <= 1
	if (!isResumedOnce || (resumedRequest?.length ?? 0) > MAX_REQUEST_ID_CHARS)
		return reject('malformed', names.resumedRequest)
	const work = dialect.readWork(single)
	if (E.isLeft(work)) return reject('malformed', work.left.what)
	if (route.requiresDeclaredWork && !work.right) return reject('malformed', 'stated work')
	return E.right({
		id,
		method: message.method ?? 'GET',
		path,
		route,
		// A resumed stream goes on at the service that began it.
		service: traffic.serviceOf(route, (lastEventId !== undefined && resumedRequest) || id),
		account,
		work: work.right,
		rank: Math.min(dialect.leastUrgentRank, traffic.rankOf(route, account)),
		deadlineMs: deadline === undefined ? undefined : Number(deadline),
		lastEventId,
		resumedRequest,
		headers: headersToForward(message, dialect),
	})
}

function reject(kind: RefusalKind, detail: string): E.Either<Rejection, never> {
	return E.left({ kind, detail })
}

/** Occurrences of each header, by lower-case name. */
function countHeaders(message: IncomingMessage): ReadonlyMap<string, number> {
	const counts = new Map<string, number>()
	for (let i = 0; i < message.rawHeaders.length; i += 2) {
		const name = message.rawHeaders[i]?.toLowerCase() ?? ''
		counts.set(name, (counts.get(name) ?? 0) + 1)
	}
	return counts
}

/** Value of a header that occurs exactly once and is not empty. */
function singleHeader(
	message: IncomingMessage,
	counts: ReadonlyMap<string, number>,
	name: string,
): string | undefined {
	if (counts.get(name) !== 1) return undefined
	const value = message.headers[name]
	return typeof value === 'string' && value !== '' ? value : undefined
}

function headerBytes(message: IncomingMessage): number {
	let bytes = message.url?.length ?? 0
	for (const text of message.rawHeaders) bytes += text.length + 2
	return bytes
}

function hostOf(message: IncomingMessage): string {
	return (message.headers.host ?? '').toLowerCase().replace(/:\d+$/, '')
}

function pathOf(url: string): string {
	const query = url.indexOf('?')
	return query < 0 ? url : url.slice(0, query)
}

function headersToForward(message: IncomingMessage, dialect: Dialect): string[] {
	const connectionOptions = String(message.headers.connection ?? '')
		.toLowerCase()
		.split(',')
		.map((name) => name.trim())
	return filterHeaders(
		message.rawHeaders,
		(name) => !dialect.reservedHeaders.has(name) && !connectionOptions.includes(name),
	)
}

/** Headers of a response to forward to the caller: names and values alternate. */
export function responseHeadersToForward(rawHeaders: readonly string[]): string[] {
	return filterHeaders(rawHeaders, () => true)
}

/** Drops hop-by-hop headers, the content length, and headers whose lower-case name `isForwarded` rejects. */
function filterHeaders(
	rawHeaders: readonly string[],
	isForwarded: (name: string) => boolean,
): string[] {
	const forwarded: string[] = []
	for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
		const name = rawHeaders[i] ?? ''
		const lower = name.toLowerCase()
		if (HOP_BY_HOP_HEADERS.has(lower) || lower === 'content-length' || !isForwarded(lower)) continue
		forwarded.push(name, rawHeaders[i + 1] ?? '')
	}
	return forwarded
}
