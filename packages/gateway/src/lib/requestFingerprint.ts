import { createHash } from 'node:crypto'
import { brandId, type RequestFingerprint } from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'

/** Length of a fingerprint, 4 bits per digit: 128 bits resist collisions. */
const FINGERPRINT_HEX_DIGITS = 32

/**
 * Identifies the content of a request at all boxes: method, path, account and body. The request id and the deadline
 * are excluded, because they change with each retry.
 */
export function requestFingerprint(
	{ method, path, account }: Pick<CallerRequest, 'method' | 'path' | 'account'>,
	body: Buffer,
): RequestFingerprint {
	const head = JSON.stringify([method, path, account?.name ?? ''])
	const hash = createHash('sha256').update(head).update(body).digest('hex')
	return brandId<RequestFingerprint>(hash.slice(0, FINGERPRINT_HEX_DIGITS))
}
