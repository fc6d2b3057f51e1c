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
	/** Path of the health check of a service; undefined if it has none, or is no longer configured. */
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
	/** Begins once the current one has ended, or has taken {@link MAX_WAIT_MS}. */
	next: Promise<LifeSign> | undefined
}

/** Longest check, in ms. Callers of streams wait longer for the next event. */
const MAX_CHECK_MS = 1_000
/** Longest wait of a check for the one before it, in ms. */
const MAX_WAIT_MS = 300
/** Longest wait for an answer on a kept connection, in ms: it may hang while new ones work. */
const MAX_KEPT_CONNECTION_MS = 300
/** Pause after a connection that was closed without an answer, in ms: the target may be full, or about to be gone. */
const TRY_INTERVAL_MS = 100

/**
 * Finds out whether a target is still alive, as the process that it was. A connection that is accepted does not show it: the
 * kernel accepts for a process that is ending, and another process may listen at the address. An answer to a request that is
 * sent now does.
 */
export class TargetLiveness {
	private readonly checks = new Map<TargetIncarnation, PendingCheck>()
	/** Paths that were configured last. A newer configuration may lack a service whose answers still run. */
	private readonly paths = new Map<ServiceName, string>()

	constructor(private readonly options: TargetLivenessOptions) {}

	/** Checks a target now. Calls at the same time share checks. Never rejects. */
	check(target: TargetEntry): Promise<LifeSign> {
		const incarnation = incarnationOf(target)
		const pending = this.checks.get(incarnation)
		if (!pending) return this.begin(incarnation, target)
		// The current check may have been answered before now.
		pending.next ??= Promise.race([pending.current, sleep(MAX_WAIT_MS)]).then(() => {
			return this.begin(incarnation, target)
		})
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
		const { now, poolFor } = this.options
		const path = this.pathOf(target.service)
		if (path === undefined) return signOf(await poolFor(target).probe())
		const endsAt = now() + MAX_CHECK_MS
		for (;;) {
			const sign = await this.askOnce(target, path, endsAt - now())
			if (sign !== 'no-answer' || now() + TRY_INTERVAL_MS >= endsAt) return sign
			await sleep(TRY_INTERVAL_MS)
		}
	}

	private async askOnce(target: TargetEntry, path: string, leftMs: number): Promise<LifeSign> {
		const pool = this.options.poolFor(target)
		const isKept = pool.idleCount > 0
		const timeoutMs = isKept ? Math.min(leftMs, MAX_KEPT_CONNECTION_MS) : leftMs
		const sign = await requestHealth({ ...this.options, target, path, timeoutMs })
		// Other kept connections may hang, too.
		if (sign === 'no-answer' && isKept) pool.closeIdle()
		return sign
	}

	/** Notes the path of a service; must be called while an answer of one of its targets runs. */
	noteService(service: ServiceName): void {
		const path = this.options.healthPathOf(service)
		if (path !== undefined) this.paths.set(service, path)
	}

	private pathOf(service: ServiceName): string | undefined {
		this.noteService(service)
		return this.paths.get(service)
	}
}

/** True if the target is alive, as far as can be known. */
export function isAlive(sign: LifeSign): boolean {
	return sign === 'answered' || sign === 'connected'
}

function signOf(probe: Awaited<ReturnType<ConnectionPool['probe']>>): LifeSign {
	return probe === 'accepted' ? 'connected' : probe
}
