import { fnv1a, type RequestFingerprint, type RequestIdentity } from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'
import { requestFingerprint } from './requestFingerprint.js'

/**
 * Identifies the content of a request independently of its sender: a cheap hash at once, a cryptographic one on
 * demand.
 */
export class RequestContent implements RequestIdentity {
	readonly hint: number
	private cachedFingerprint: RequestFingerprint | undefined

	constructor(
		private readonly request: Pick<CallerRequest, 'method' | 'path' | 'account'>,
		private readonly body: Buffer,
	) {
		const { method, path, account } = request
		this.hint = fnv1a(`${method} ${path} ${account?.name ?? ''} ${body.length}`)
	}

	get fingerprint(): RequestFingerprint {
		this.cachedFingerprint ??= requestFingerprint(this.request, this.body)
		return this.cachedFingerprint
	}
}
