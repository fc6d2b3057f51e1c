import type { CallerRequest } from './CallerRequest.js'

/** Remaining time below which a request is not sent to a target, in ms. */
export const MIN_REMAINING_MS = 10
/** Time before the limit at which the refusal is sent, in ms. */
const RESPONSE_MARGIN_MS = 5

/** The time limit of a request by its route and its caller, counted from its arrival. */
export class TimeLimit {
	private timer: NodeJS.Timeout | undefined

	constructor(
		/** Clock that includes suspended time, in ms. */
		private readonly suspendAwareNow: () => number,
		private readonly arrivedAt: number,
	) {}

	/** Time since the arrival of the request, in ms. */
	get elapsedMs(): number {
		return this.suspendAwareNow() - this.arrivedAt
	}

	/** Time until the limit, in ms; negative once it has passed. */
	remainingMs({ route, deadlineMs = Infinity }: CallerRequest): number {
		return Math.min(route.timeoutMs, deadlineMs) - this.elapsedMs
	}

	/** Calls `onReached` once, shortly before the limit, unless stopped. */
	start(request: CallerRequest, onReached: () => void): void {
		this.timer = setTimeout(onReached, Math.max(0, this.remainingMs(request) - RESPONSE_MARGIN_MS))
	}

	stop(): void {
		clearTimeout(this.timer)
	}
}
