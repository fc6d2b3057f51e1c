import { brandId, type TargetName } from '@stallwing/core'
import { findHeadFault } from '@stallwing/http'
import type { ResponseHead, TargetRequest } from '../sendToTarget.js'

/** Endpoint of a box that sends a request to a target on behalf of another box. */
export const FORWARD_PATH = '/forward'

/** Ends the JSON document at the start of a message; the bytes after it belong to the body. */
const HEAD_END = '\n'

/** A request that another box asks this one to send to a target. */
export interface ForwardedRequest {
	readonly target: TargetName
	readonly message: TargetRequest
}

/**
 * Why a box did not send a forwarded request. Nothing of it has reached a target.
 * - `target-not-reached`: the target does not accept connections, or the box does not list it as available.
 * - `service-unreachable`: the box itself has no path to the targets of the service.
 * - `overloaded`, `stopping`: the box takes no forwarded requests.
 * - `malformed`: the message cannot be read.
 */
export type ForwardRefusal =
	'target-not-reached' | 'service-unreachable' | 'overloaded' | 'stopping' | 'malformed'

interface RequestHeadDocument {
	readonly target: string
	readonly method: string
	readonly path: string
	readonly headers: readonly string[]
}

export function encodeForwardedRequest({ target, message }: ForwardedRequest): Buffer {
	const { method, path, headers } = message
	const head: RequestHeadDocument = { target, method, path, headers }
	return Buffer.concat([Buffer.from(JSON.stringify(head) + HEAD_END), message.body])
}

/** Returns undefined if the message cannot be read. */
export function decodeForwardedRequest(bytes: Buffer): ForwardedRequest | undefined {
	const parts = splitHead(bytes)
	const head = parts && (parseJson(parts.head) as Partial<RequestHeadDocument> | undefined)
	if (!parts || !head) return undefined
	const { target, method, path, headers } = head
	if (typeof target !== 'string' || typeof method !== 'string' || typeof path !== 'string')
		return undefined
	if (!isStringList(headers)) return undefined
	return {
		target: brandId<TargetName>(target),
		message: { method, path, headers, body: parts.rest },
	}
}

/** Encodes the head of a target's response; the bytes of the body follow. */
export function encodeForwardedHead({ status, rawHeaders }: ResponseHead): Buffer {
	return Buffer.from(JSON.stringify({ status, rawHeaders }) + HEAD_END)
}

/** Separates the head of a message from the bytes after it; undefined until the head is complete. */
export function splitHead(
	bytes: Buffer,
): { readonly head: string; readonly rest: Buffer } | undefined {
	const end = bytes.indexOf(HEAD_END)
	if (end < 0) return undefined
	return { head: bytes.toString('utf8', 0, end), rest: bytes.subarray(end + HEAD_END.length) }
}

/** Parses the head of a target's response; undefined if it cannot be read, or is none of HTTP. */
export function decodeForwardedHead(text: string): ResponseHead | undefined {
	const document = parseJson(text) as Partial<ResponseHead> | undefined
	if (!document || typeof document.status !== 'number') return undefined
	const { status, rawHeaders } = document
	if (!isStringList(rawHeaders) || findHeadFault({ status, rawHeaders }) !== undefined)
		return undefined
	return { status, rawHeaders, headers: headersByName(rawHeaders) }
}

/** Headers by lower-case name; the values of a repeated one are joined as in Node's `headers`. */
function headersByName(rawHeaders: readonly string[]): Record<string, string> {
	const headers: Record<string, string> = {}
	for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
		const name = (rawHeaders[i] ?? '').toLowerCase()
		const value = rawHeaders[i + 1] ?? ''
		headers[name] = name in headers ? `${headers[name]}, ${value}` : value
	}
	return headers
}

function isStringList(value: unknown): value is readonly string[] {
	return Array.isArray(value) && value.every((item) => typeof item === 'string')
}

function parseJson(text: string): unknown {
	try {
		const value: unknown = JSON.parse(text)
		return typeof value === 'object' && value !== null ? value : undefined
	} catch {
		return undefined
	}
}
