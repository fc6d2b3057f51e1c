import { createHash } from 'node:crypto'
import {
	brandId,
	notRun,
	type AccountName,
	type BudgetName,
	type CallId,
	type CallerRequest,
	type Millis,
	type Priority,
	type Refusal,
	type Work,
} from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import type { OutgoingCall } from './OutgoingCall.js'
import { chatWork, parseChat } from './chat.js'

/** A request as received over HTTP or from a relaying box. */
export interface RawCall {
	readonly callId: CallId
	readonly method: string
	readonly path: string
	readonly contentType: string
	readonly body: Buffer
	readonly bearer?: string
	readonly account?: string
	readonly idempotencyKey?: string
	readonly budget?: string
	readonly priority?: string
	readonly repeat?: string
	readonly deadline: Millis
	readonly hops: number
}

const CHAT_PATH = '/v1/chat/completions'
/** Length of a body hash in base64url, about 128 bits. */
const BODY_HASH_CHARS = 22
const SERVICE_PATH_PATTERN = /^\/services\/([a-z0-9][a-z0-9-]{0,39})(\/.*)?$/

/** Validates a raw call and converts it to the request for the core and the call for a target. */
export function readCall(
	raw: RawCall,
): E.Either<Refusal, { request: CallerRequest; outgoing: OutgoingCall }> {
	const priority = raw.priority ?? 'ordinary'
	if (priority !== 'urgent' && priority !== 'ordinary')
		return malformedRequest('stallwing-priority: expected urgent or ordinary')
	if (raw.repeat !== undefined && raw.repeat !== 'never' && raw.repeat !== 'allowed')
		return malformedRequest('stallwing-repeat: expected never or allowed')
	const parsed = readWork(raw)
	if (E.isLeft(parsed)) return parsed
	const { work, outgoing } = parsed.right
	return E.right({ request: toCallerRequest(raw, work, priority), outgoing })
}

function toCallerRequest(raw: RawCall, work: Work, priority: Priority): CallerRequest {
	const hash = createHash('sha256')
	hash.update(`${raw.method} ${raw.path}\n`)
	hash.update(raw.body)
	return {
		callId: raw.callId,
		...(raw.bearer === undefined ? {} : { keyHash: hashKey(raw.bearer) }),
		...(raw.account === undefined ? {} : { account: brandId<AccountName>(raw.account) }),
		...(raw.idempotencyKey === undefined ? {} : { idempotencyKey: raw.idempotencyKey }),
		...(raw.budget === undefined ? {} : { budget: brandId<BudgetName>(raw.budget) }),
		bodyHash: hash.digest('base64url').slice(0, BODY_HASH_CHARS),
		work,
		priority,
		repeatable: raw.repeat !== 'never',
		deadline: raw.deadline,
		hops: raw.hops,
	}
}

/** Hashes a bearer key in the format that the bundle uses. @public */
export function hashKey(key: string): string {
	return `sha256:${createHash('sha256').update(key).digest('hex')}`
}

function readWork(raw: RawCall): E.Either<Refusal, { work: Work; outgoing: OutgoingCall }> {
	const { method, contentType, body } = raw
	const path = raw.path.split('?')[0] ?? ''
	if (path === CHAT_PATH) return readChat(raw)
	const match = SERVICE_PATH_PATTERN.exec(path)
	if (!match) return E.left(notRun('unknown-service', `no such path: ${path}`))
	const service = match[1] as string
	const targetPath = raw.path.slice(`/services/${service}`.length) || '/'
	return E.right({
		work: { kind: 'service', service },
		outgoing: { method, path: targetPath, body, contentType },
	})
}

function readChat(raw: RawCall): E.Either<Refusal, { work: Work; outgoing: OutgoingCall }> {
	if (raw.method !== 'POST') return malformedRequest(`${CHAT_PATH} takes POST`)
	const chat = parseChat(raw.body)
	if (E.isLeft(chat)) return malformedRequest(chat.left)
	const { body, contentType } = raw
	const stream = chat.right.stream === true
	return E.right({
		work: chatWork(chat.right),
		outgoing: {
			method: 'POST',
			path: CHAT_PATH,
			body,
			contentType,
			chat: { stream, json: chat.right },
		},
	})
}

function malformedRequest(message: string): E.Either<Refusal, never> {
	return E.left(notRun('malformed-request', message))
}
