import { canCarryBody, type LinkState } from '@stallwing/core'
import type { BodyGuard } from '../BodyGuard.js'
import type { CallerRequest } from '../CallerRequest.js'
import type { EarlyRefusal } from '../findEarlyRefusal.js'

/** Refuses bodies that a full link cannot carry in time. */
export class LinkBodyGuard implements BodyGuard {
	/** Requests refused. */
	refusedCount = 0

	constructor(private readonly link: () => LinkState) {}

	check(request: CallerRequest, bodyBytes: number | undefined): EarlyRefusal | undefined {
		// Without a length, the body may be as small as any.
		if (bodyBytes === undefined || bodyBytes === 0) return undefined
		const link = this.link()
		const body = { bytes: bodyBytes, latencyGoalMs: request.route.latencyGoalMs }
		if (canCarryBody(body, link)) return undefined
		this.refusedCount++
		const use = Math.round(link.use * 100)
		const detail = `link ${use}% used, ${link.pendingBytes} bytes wait, body of ${bodyBytes}`
		return { kind: 'overloaded', detail, availableInMs: 0 }
	}
}
