import { LinkBudget, canCarryBody, type LinkState } from '@stallwing/core'
import type { BodyGuard } from '../BodyGuard.js'
import type { CallerRequest } from '../CallerRequest.js'
import type { EarlyRefusal } from '../findEarlyRefusal.js'

/** Dependencies of a {@link LinkBodyGuard}. */
export interface LinkBodyGuardOptions {
	/** Bytes per second that the link carries in each direction. */
	readonly linkBytesPerSecond: number
	readonly link: () => LinkState
	/** Bytes sent to callers since the start. */
	readonly sentToCallers: () => number
	/** Monotonic clock, in ms. */
	readonly now: () => number
}

/** Request heads are forwarded with a few more headers. */
const HEAD_BYTES = 500

/** Refuses requests whose bytes the link cannot carry in time, before their bodies are read. */
export class LinkBodyGuard implements BodyGuard {
	/** Requests refused. */
	refusedCount = 0
	private readonly budget: LinkBudget
	private admittedCount = 0

	constructor(private readonly options: LinkBodyGuardOptions) {
		this.budget = new LinkBudget(options.linkBytesPerSecond, options.now())
	}

	check(request: CallerRequest, bodyBytes: number | undefined): EarlyRefusal | undefined {
		const { now } = this.options
		const { latencyGoalMs } = request.route
		const link = this.options.link()
		// Without a length, the body may be as small as any.
		const body = { bytes: bodyBytes ?? 0, latencyGoalMs }
		const isCarried = body.bytes === 0 || canCarryBody(body, link)
		const bytes = body.bytes + HEAD_BYTES + this.meanAnswerBytes
		if (isCarried && this.budget.admit({ bytes, latencyGoalMs }, now())) {
			this.admittedCount++
			return undefined
		}
		this.refusedCount++
		const use = Math.round(link.use * 100)
		const waitMs = Math.round(this.budget.waitMs(now()))
		const detail = `link ${use}% used, ${link.pendingBytes} bytes wait, ${waitMs} ms booked, body of ${body.bytes}`
		return { kind: 'overloaded', detail, availableInMs: 0 }
	}

	private get meanAnswerBytes(): number {
		return this.admittedCount === 0 ? 0 : this.options.sentToCallers() / this.admittedCount
	}
}
