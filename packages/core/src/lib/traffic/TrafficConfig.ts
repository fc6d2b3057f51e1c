import type { AccountName, RouteName, ServiceName } from '../ids.js'
import type { ColdStart } from '../placement/coldRateLimit.js'
import type { Millis } from '../units.js'
import type { AllowedRegions } from './allowsRegion.js'

/**
 * How often a request of a route may run: `repeatable` any number of times, `once` at most once,
 * `stream` at most once unless the route is resumable.
 * @public
 */
export type RouteKind = 'repeatable' | 'once' | 'stream'

/** A service of a route and its weight. @public */
export interface ServiceShare {
	readonly service: ServiceName
	readonly weight: number
}

/** Routing and limits of the requests for one host and path prefix. @public */
export interface Route {
	readonly name: RouteName
	/** Host name in lower case, without a port. */
	readonly host: string
	/** Starts and ends with a slash. */
	readonly pathPrefix: string
	readonly kind: RouteKind
	/** A broken stream may be resumed at another target after the last received event. */
	readonly resumable: boolean
	/** Time limit of a request, in ms. */
	readonly timeoutMs: Millis
	/** Latency goal of an answer, or of the first event of a stream, in ms. */
	readonly latencyGoalMs: Millis
	/** Goal for the longest gap between two events of a stream, in ms; undefined if there is none. */
	readonly eventGapGoalMs: Millis | undefined
	/** Rank among routes; 0 is the most urgent. */
	readonly rank: number
	/** Never empty. */
	readonly shares: readonly ServiceShare[]
	/** Maximum number of targets that one request may be sent to. */
	readonly maxAttempts: number
	/** Requests need no key. */
	readonly isPublic: boolean
	/** Requests must declare their prompt tokens, prompt parts and maximum output tokens. */
	readonly requiresDeclaredWork: boolean
	/** Regions in which its requests may run. */
	readonly regions: AllowedRegions
}

/** A pool of targets. @public */
export interface Service {
	readonly name: ServiceName
	/** Maximum connections to one target from all boxes together. */
	readonly maxConnections: number
	/** Path of the health check of its targets; undefined if they have none. */
	readonly healthPath?: string | undefined
	/** Tokens per event of a stream; undefined for a service without tokens. */
	readonly tokensPerEvent: number | undefined
	/** Requests that one of its targets processes concurrently; undefined if not stated. */
	readonly slots?: number | undefined
	/** Tokens that fit into the memory of one of its targets, running and cached; undefined for a service without tokens. */
	readonly memoryTokens?: number | undefined
	/** Request limits of its targets after a start; undefined if there are none. */
	readonly coldStart: ColdStart | undefined
}

/** A client account with its keys and its budget. @public */
export interface Account {
	readonly name: AccountName
	readonly keys: readonly string[]
	/** Rank among accounts; 0 is the most urgent. Takes precedence over the rank of the route. */
	readonly rank: number
	/** Total input and output tokens that the account may use; undefined if not limited. */
	readonly tokenBudget: number | undefined
	/** Regions in which its requests may run, in addition to the restriction of the route. */
	readonly regions: AllowedRegions
}

/** Size and time limits of requests from callers. @public */
export interface RequestLimits {
	readonly maxHeaderBytes: number
	readonly maxBodyBytes: number
	readonly headerTimeoutMs: Millis
	readonly idleTimeoutMs: Millis
}

/** One version of the complete traffic configuration. @public */
export interface TrafficConfig {
	readonly version: number
	readonly routes: readonly Route[]
	readonly services: readonly Service[]
	/** Undefined if requests need no keys. */
	readonly accounts: readonly Account[] | undefined
	readonly limits: RequestLimits
}
