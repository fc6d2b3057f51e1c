import type { ServiceName } from '../ids.js'
import type { Millis } from '../units.js'

/**
 * Whether this box can open connections to the targets of a service.
 * - `reachable`: as far as is known.
 * - `checking`: a connection failed, and probes to other targets have not ended yet.
 * - `unreachable`: the probes failed too, and no connection has succeeded since.
 * @public
 */
export type ReachState = 'reachable' | 'checking' | 'unreachable'

/** What this box knows of the paths to the targets of one service. */
interface ServicePaths {
	state: ReachState
	/** Time of the last connection that succeeded. */
	connectedAt: Millis
	/** Time of the last bytes from any target. */
	receivedAt: Millis
	/** Time of the last probe because of silence. */
	silentAt: Millis
	checkStartedAt: Millis
}

/** Time after a check in which no other one starts, in ms: limits the probes while single targets fail. */
const CHECK_INTERVAL_MS: Millis = 500

/**
 * Distinguishes a box that lost its paths to all targets of a service from targets that fail: one failed connection starts
 * a check, and only if the probes to other targets fail too, the service is unreachable. Silence of all targets is a reason
 * to open a connection.
 * Bytes on old connections are no evidence for a path, because they may live on while new connections are refused.
 * @public
 */
export class TargetReachability {
	private readonly services = new Map<ServiceName, ServicePaths>()

	stateOf(service: ServiceName): ReachState {
		return this.services.get(service)?.state ?? 'reachable'
	}

	/** Services that this box cannot reach. */
	get unreachable(): readonly ServiceName[] {
		return [...this.services].flatMap(([name, { state }]) => (state === 'unreachable' ? name : []))
	}

	/** A connection to a target of the service succeeded. Returns true if the service was unreachable before. */
	noteConnected(service: ServiceName, now: Millis): boolean {
		const paths = this.pathsOf(service)
		const wasUnreachable = paths.state === 'unreachable'
		paths.connectedAt = now
		paths.state = 'reachable'
		return wasUnreachable
	}

	/** A target of the service sent bytes. */
	noteReceived(service: ServiceName, now: Millis): void {
		this.pathsOf(service).receivedAt = now
	}

	/** A connection to a target of the service failed. Returns true if a check starts: some targets must be probed. */
	noteConnectFailed(service: ServiceName, now: Millis): boolean {
		return this.startCheck(this.pathsOf(service), now)
	}

	/**
	 * A target has not answered a request that was sent at `sentAt`. Returns true if it should be probed, because no target
	 * of the service has sent anything since.
	 */
	noteSilence(service: ServiceName, sentAt: Millis, now: Millis): boolean {
		const paths = this.pathsOf(service)
		if (paths.state !== 'reachable') return false
		if (Math.max(paths.receivedAt, paths.connectedAt, paths.silentAt) > sentAt) return false
		paths.silentAt = now
		return true
	}

	/** The probes of a check have ended. Returns true if the service is unreachable from now on. */
	finishCheck(service: ServiceName): boolean {
		const paths = this.pathsOf(service)
		if (paths.state !== 'checking') return false
		paths.state = 'unreachable'
		return true
	}

	private startCheck(paths: ServicePaths, now: Millis): boolean {
		if (paths.state !== 'reachable' || now - paths.checkStartedAt < CHECK_INTERVAL_MS) return false
		paths.state = 'checking'
		paths.checkStartedAt = now
		return true
	}

	private pathsOf(service: ServiceName): ServicePaths {
		const known = this.services.get(service)
		if (known) return known
		const paths: ServicePaths = {
			state: 'reachable',
			connectedAt: Number.NEGATIVE_INFINITY,
			receivedAt: Number.NEGATIVE_INFINITY,
			silentAt: Number.NEGATIVE_INFINITY,
			checkStartedAt: Number.NEGATIVE_INFINITY,
		}
		this.services.set(service, paths)
		return paths
	}
}
