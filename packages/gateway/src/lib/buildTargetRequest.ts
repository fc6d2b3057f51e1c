import type { TargetName } from '@stallwing/core'
import type { CallerRequest } from './CallerRequest.js'
import type { Dialect } from './Dialect.js'
import type { TargetRequest } from './sendToTarget.js'

/** The request as a target gets it: method, path and body as they came, with the fleet's headers. */
export function buildTargetRequest(
	request: CallerRequest,
	dialect: Dialect,
	target: TargetName,
	body: Buffer,
	leftMs: number,
	resumeAfter: number | undefined,
): TargetRequest {
	const names = dialect.headers
	const headers = [
		...request.headers,
		names.deadline,
		String(leftMs),
		names.expectedTarget,
		target,
		names.rank,
		String(request.rank),
		'Connection',
		'keep-alive',
	]
	if (request.account) headers.push(names.account, request.account.name)
	const lastEvent = resumeAfter === undefined ? request.lastEvent : String(resumeAfter)
	if (lastEvent !== undefined) headers.push(names.lastEvent, lastEvent)
	if (body.length > 0 || !isUsuallyBodyless(request.method))
		headers.push('Content-Length', String(body.length))
	return { method: request.method, path: request.path, headers, body }
}

/** Methods that carry no body unless one was sent. */
function isUsuallyBodyless(method: string): boolean {
	return method === 'GET' || method === 'HEAD' || method === 'DELETE' || method === 'OPTIONS'
}
