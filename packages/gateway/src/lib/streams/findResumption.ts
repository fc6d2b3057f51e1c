import type { ServiceName, SoftwareVersion, TargetRegistry } from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import type { CallerRequest } from '../CallerRequest.js'
import type { KnownVersions } from './KnownVersions.js'
import type { StreamOriginSharing } from './StreamOriginSharing.js'

/** Where a stream that a caller resumes has to go on. */
export interface Resumption {
	readonly service: ServiceName
	/** Software version of the target; undefined for any. */
	readonly version: SoftwareVersion | undefined
}

/** Why a stream cannot go on at this box. After `stream-unconfirmed`, it may go on at another one. */
export interface LostStream {
	readonly kind: 'stream-lost' | 'stream-unconfirmed'
	readonly detail: string
}

export interface ResumptionSources {
	readonly registry: Pick<TargetRegistry, 'versions'>
	readonly streams: Pick<StreamOriginSharing, 'find'>
	readonly knownVersions: Pick<KnownVersions, 'isListCurrent'>
}

/** True if the request asks for the rest of a stream of which the caller has received events. */
export function isResumption({ lastEventId, route }: CallerRequest): boolean {
	return route.kind === 'stream' && route.resumable && lastEventId !== undefined
}

/** Finds the service and the version at which a stream goes on, or the reason why it cannot. */
export async function findResumption(
	{ knownVersions, registry, streams }: ResumptionSources,
	request: CallerRequest,
): Promise<E.Either<LostStream, Resumption>> {
	const { account, id, resumedRequest, route, service } = request
	const lookup = await streams.find({ request: resumedRequest ?? '', service, resumedBy: id })
	if (lookup.kind === 'one-version') return E.right({ service, version: lookup.version })
	if (lookup.kind === 'unconfirmed')
		return unconfirmed('the store has not confirmed the versions of targets for too long')
	if (lookup.kind === 'unknown') return lost(`no box knows where ${resumedRequest ?? 'it'} began`)
	const { origin } = lookup
	if (origin.account !== account?.name) return lost('it began for another account')
	if (!route.shares.some((share) => share.service === origin.service))
		return lost(`its route no longer uses ${origin.service}`)
	if (!registry.versions.countsOf(origin.service).has(origin.version)) {
		const detail = `no target of version ${origin.version} is left`
		return knownVersions.isListCurrent ? lost(detail) : unconfirmed(detail)
	}
	return E.right({ service: origin.service, version: origin.version })
}

function lost(detail: string): E.Either<LostStream, never> {
	return E.left({ kind: 'stream-lost', detail })
}

function unconfirmed(detail: string): E.Either<LostStream, never> {
	return E.left({ kind: 'stream-unconfirmed', detail })
}
