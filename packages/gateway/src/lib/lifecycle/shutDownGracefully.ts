import { sleep } from '../sleep.js'

/** The steps of a graceful shutdown, in the order in which they are called. */
export interface ShutdownSteps {
	/** Refuses new requests, and closes connections of callers that carry none. */
	refuseNewRequests(): void
	/** Returns unspent tokens to boxes that go on. */
	returnTokens(): Promise<void>
	/** Closes everything that is still open. */
	close(): void
	/** Requests in flight. */
	openRequests(): number
	/** Clock in ms that includes suspended time. */
	now(): number
}

/**
 * Time until the load balancer stops sending callers to a box that is not ready, in ms. Requests after that are
 * refused, because they might not finish within the shutdown grace.
 */
const READINESS_PROPAGATION_MS = 2_800
/** Unspent tokens are returned at least this long before the end of the shutdown grace, in ms. */
const TOKEN_RETURN_MARGIN_MS = 2_400
const SHUTDOWN_MARGIN_MS = 300
const SHUTDOWN_POLL_INTERVAL_MS = 50

/** Completes open requests as far as the grace allows, then closes. The box must already be out of readiness. */
export async function shutDownGracefully(steps: ShutdownSteps, graceMs: number): Promise<void> {
	const graceEndsAt = steps.now() + graceMs
	await sleep(READINESS_PROPAGATION_MS)
	steps.refuseNewRequests()
	await waitUntilIdle(steps, graceEndsAt - TOKEN_RETURN_MARGIN_MS)
	// Returns tokens while the last responses still run, because the grace may end before they do.
	const returnTimeoutMs = Math.max(0, graceEndsAt - SHUTDOWN_MARGIN_MS - steps.now())
	await Promise.race([steps.returnTokens(), sleep(returnTimeoutMs)])
	await waitUntilIdle(steps, graceEndsAt - SHUTDOWN_MARGIN_MS)
	steps.close()
}

/** Waits until no request is open, at most until the time `latest`. */
async function waitUntilIdle(steps: ShutdownSteps, latest: number): Promise<void> {
	while (steps.now() < latest && steps.openRequests() > 0) await sleep(SHUTDOWN_POLL_INTERVAL_MS)
}
