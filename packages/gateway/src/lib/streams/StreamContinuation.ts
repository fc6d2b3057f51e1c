import { versionOf, type SoftwareVersion, type TargetEntry } from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import type { CallerRequest } from '../CallerRequest.js'
import type { GatewayContext } from '../GatewayContext.js'
import { findResumption, isResumption, type LostStream } from './findResumption.js'

/** Keeps the stream of one request at the service and the software version that began it. */
export class StreamContinuation {
	private requiredVersion: SoftwareVersion | undefined

	constructor(
		private readonly context: Pick<
			GatewayContext,
			'registry' | 'streams' | 'knownVersions' | 'newVersions'
		>,
	) {}

	/** Software version of the targets that may serve the request; undefined for any. */
	get version(): SoftwareVersion | undefined {
		return this.requiredVersion
	}

	/** Software versions of the targets that may not begin the stream of a request; undefined if any may. */
	versionsHeldBack({ route, service }: CallerRequest): ReadonlySet<SoftwareVersion> | undefined {
		const mayBeginAtAny = this.requiredVersion !== undefined || !route.resumable
		return mayBeginAtAny ? undefined : this.context.newVersions.heldBack(service)
	}

	/** Returns the request with the service at which a stream that it resumes has to go on. */
	async resolve(request: CallerRequest): Promise<E.Either<LostStream, CallerRequest>> {
		if (!isResumption(request)) return E.right(request)
		const found = await findResumption(this.context, request)
		if (E.isLeft(found)) return found
		this.requiredVersion = found.right.version
		return E.right({ ...request, service: found.right.service })
	}

	/** Must be called before the first event of the answer is forwarded. */
	noteBegan(request: CallerRequest, target: TargetEntry): void {
		const version = versionOf(target)
		this.requiredVersion = version
		if (!request.route.resumable || isResumption(request)) return
		const { id, service, account } = request
		this.context.streams.noteBegan({ request: id, service, version, account: account?.name })
	}

	noteCompleted(request: CallerRequest): void {
		this.context.streams.noteCompleted(request.resumedRequest ?? request.id)
	}
}
