import { createHash } from 'node:crypto'
import { brandId, type RequestFingerprint } from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'

/** Characters kept of the hash, 4 bits each: 128 bits, so that nobody finds two requests with the same one. */
const FINGERPRINT_HEX_DIGITS = 32

/**
 * What tells a request from others whichever box it comes to: method, path, account and body. Its id and its
 * deadline are new with each try.
 */
export function requestFingerprint(
	{ method, path, account }: Pick<CallerRequest, 'method' | 'path' | 'account'>,
	body: Buffer,
): RequestFingerprint {
	const head = JSON.stringify([method, path, account?.name ?? ''])
	const hash = createHash('sha256').update(head).update(body).digest('hex')
	return brandId<RequestFingerprint>(hash.slice(0, FINGERPRINT_HEX_DIGITS))
}
