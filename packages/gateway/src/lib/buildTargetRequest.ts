import type { TargetName } from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'
import type { Dialect } from './Dialect.js'
import type { TargetRequest } from './sendToTarget.js'

/**
 * Builds the request for a target: method, path and body unchanged, with the headers that the fleet adds. They state the
 * time that is left when they are read, because a connection may take long to open.
 */
export function buildTargetRequest(
	request: CallerRequest,
	dialect: Dialect,
	target: TargetName,
	body: Buffer,
	remainingMs: () => number,
	resumeAfterEventId: number | undefined,
): TargetRequest {
	const names = dialect.headers
	const headers = [
		...request.headers,
		names.expectedTarget,
		target,
		names.rank,
		String(request.rank),
		'Connection',
		'keep-alive',
	]
	if (request.account) headers.push(names.account, request.account.name)
	const lastEventId =
		resumeAfterEventId === undefined ? request.lastEventId : String(resumeAfterEventId)
	if (lastEventId !== undefined) headers.push(names.lastEvent, lastEventId)
	if (body.length > 0 || !isUsuallyBodyless(request.method))
		headers.push('Content-Length', String(body.length))
	return {
		method: request.method,
		path: request.path,
		get headers() {
			return [...headers, names.deadline, String(Math.max(1, Math.floor(remainingMs())))]
		},
		body,
	}
}

/** Methods that usually have no body; an empty one gets no `Content-Length`. */
function isUsuallyBodyless(method: string): boolean {
	return method === 'GET' || method === 'HEAD' || method === 'DELETE' || method === 'OPTIONS'
}
