import { fnv1a, type RequestFingerprint, type RequestIdentity } from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'
import { requestFingerprint } from './requestFingerprint.js'

/** What a request asks for, whoever sends it again: a cheap hint of it at once, a hash of it all when asked for. */
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
