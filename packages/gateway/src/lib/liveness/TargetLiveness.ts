import {
	incarnationOf,
	type ServiceName,
	type TargetEntry,
	type TargetIncarnation,
} from '@stallwing/core'
import type { ConnectionPool } from '../ConnectionPool.js'
import type { Dialect } from '../Dialect.js'
import type { PathRequest } from '../forwarding/PathCall.js'
import type { TargetCall } from '../sendToTarget.js'
import { sleep } from '../sleep.js'
import { requestHealth, type HealthSign } from './HealthRequest.js'

export interface TargetLivenessOptions {
	readonly dialect: Pick<Dialect, 'headers' | 'wrongTargetStatus'>
	/** Sends a request to a target, through another box if this one has no path to it. */
	readonly call: (request: PathRequest) => TargetCall
	readonly poolFor: (target: TargetEntry) => ConnectionPool
	/** Path of the health check of a service; undefined if it has none. */
	readonly healthPathOf: (service: ServiceName) => string | undefined
	/** Monotonic clock, in ms. */
	readonly now: () => number
}

/**
 * What showed whether a target is alive; `connected`: it has no health check, and accepted a connection.
 */
export type LifeSign = HealthSign | 'connected'

interface PendingCheck {
	readonly current: Promise<LifeSign>
	/** Begins once the current one has ended. */
	next: Promise<LifeSign> | undefined
}

/** Longest check, in ms. Callers of streams wait longer for the next event. */
const MAX_CHECK_MS = 1_000
/** A connection may be closed, or a check be lost, while the target is alive. */
const MAX_TRIES = 3
const TRY_INTERVAL_MS = 50

/**
 * Finds out whether a target is still alive, as the process that it was. A connection that is accepted does not show it: the
 * kernel accepts for a process that is ending, and another process may listen at the address. An answer to a request that is
 * sent now does.
 */
export class TargetLiveness {
	private readonly checks = new Map<TargetIncarnation, PendingCheck>()

	constructor(private readonly options: TargetLivenessOptions) {}

	/** Checks a target now. Calls at the same time share checks. Never rejects. */
	check(target: TargetEntry): Promise<LifeSign> {
		const incarnation = incarnationOf(target)
		const pending = this.checks.get(incarnation)
		if (!pending) return this.begin(incarnation, target)
		// The current check may have been answered before now.
		pending.next ??= pending.current.then(() => this.begin(incarnation, target))
		return pending.next
	}

	private begin(incarnation: TargetIncarnation, target: TargetEntry): Promise<LifeSign> {
		const current = this.ask(target)
		const pending: PendingCheck = { current, next: undefined }
		this.checks.set(incarnation, pending)
		void current.then(() => {
			if (!pending.next) this.checks.delete(incarnation)
		})
		return current
	}

	private async ask(target: TargetEntry): Promise<LifeSign> {
		const { healthPathOf, now, poolFor } = this.options
		const path = healthPathOf(target.service)
		if (path === undefined) return signOf(await poolFor(target).probe())
		const endsAt = now() + MAX_CHECK_MS
		for (let tries = 1; ; tries++) {
			const timeoutMs = endsAt - now()
			const sign = await requestHealth({ ...this.options, target, path, timeoutMs })
			if (sign !== 'no-answer' || tries === MAX_TRIES) return sign
			if (now() + TRY_INTERVAL_MS >= endsAt) return sign
			await sleep(TRY_INTERVAL_MS)
		}
	}
}

/** True if the target is alive, as far as can be known. */
export function isAlive(sign: LifeSign): boolean {
	return sign === 'answered' || sign === 'connected'
}

function signOf(probe: Awaited<ReturnType<ConnectionPool['probe']>>): LifeSign {
	return probe === 'accepted' ? 'connected' : probe
}
