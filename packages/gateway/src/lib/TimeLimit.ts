import type { CallerRequest } from './CallerRequest.js'

/** Time before a limit at which the answer of our own leaves, in ms. */
const RESPONSE_MARGIN_MS = 5

/** The time that a request has, by the limits of its route and its caller, from its arrival on. */
export class TimeLimit {
	private timer: NodeJS.Timeout | undefined

	constructor(
		/** Clock that counts suspended time, in ms: callers wait by it. */
		private readonly suspendAwareNow: () => number,
		private readonly arrivedAt: number,
	) {}

	/** Time since the arrival, in ms. */
	get elapsedMs(): number {
		return this.suspendAwareNow() - this.arrivedAt
	}

	/** Time that is left, in ms. */
	remainingMs({ route, deadlineMs = Infinity }: CallerRequest): number {
		return Math.min(route.timeoutMs, deadlineMs) - this.elapsedMs
	}

	/** Calls back just before the limit, once, unless stopped. */
	start(request: CallerRequest, onReached: () => void): void {
		this.timer = setTimeout(onReached, Math.max(0, this.remainingMs(request) - RESPONSE_MARGIN_MS))
	}

	stop(): void {
		clearTimeout(this.timer)
	}
}
