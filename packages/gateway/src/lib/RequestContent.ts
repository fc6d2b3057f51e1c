import {
	brandId,
	fnv1a,
	type DeclaredWork,
	type PromptPartId,
	type RequestFingerprint,
	type RequestIdentity,
} from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'
import { requestFingerprint } from './requestFingerprint.js'

/** Bounds the work and the log line of one request; prompts usually have two to four parts. */
const MAX_SHARED_PARTS = 16

/**
 * Identifies the content of a request independently of its sender: a cheap hash at once, a cryptographic one on
 * demand.
 */
export class RequestContent implements RequestIdentity {
	readonly hint: number
	private cachedParts: readonly PromptPartId[] | undefined
	private cachedFingerprint: RequestFingerprint | undefined

	constructor(
		private readonly request: Pick<CallerRequest, 'method' | 'path' | 'account' | 'work'>,
		private readonly body: Buffer,
	) {
		const { method, path, account } = request
		this.hint = fnv1a(`${method} ${path} ${account?.name ?? ''} ${body.length}`)
	}

	/** Ids of the parts of the prompt that other requests may share: all but the last, up to a maximum number. */
	get sharedParts(): readonly PromptPartId[] {
		this.cachedParts ??= sharedPartsOf(this.request.work)
		return this.cachedParts
	}

	get fingerprint(): RequestFingerprint {
		this.cachedFingerprint ??= requestFingerprint(this.request, this.body)
		return this.cachedFingerprint
	}
}

function sharedPartsOf(work: DeclaredWork | undefined): readonly PromptPartId[] {
	const ids = work?.parts.slice(0, -1).map(({ id }) => brandId<PromptPartId>(id.toLowerCase()))
	return [...new Set(ids)].slice(0, MAX_SHARED_PARTS)
}
