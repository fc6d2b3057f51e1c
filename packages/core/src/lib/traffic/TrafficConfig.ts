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

/** One of the services that a route sends its requests to, with its share of them. @public */
export interface ServiceShare {
	readonly service: ServiceName
	readonly weight: number
}

/** Where requests of one host and path prefix go, and under which limits. @public */
export interface Route {
	readonly name: RouteName
	/** Host name in lower case, without a port. */
	readonly host: string
	/** Begins and ends with a slash. */
	readonly pathPrefix: string
	readonly kind: RouteKind
	/** A broken stream may be taken up at another target after the last event that arrived. */
	readonly resumable: boolean
	/** Longest time that a request is held. */
	readonly timeoutMs: Millis
	/** Time within which an answer, or the first event of a stream, is in time. */
	readonly latencyGoalMs: Millis
	/** Longest pause between two events with which a stream is still in time; undefined: none is stated. */
	readonly eventGapGoalMs: Millis | undefined
	/** Rank among routes; 0 is the most urgent. */
	readonly rank: number
	/** Never empty. */
	readonly shares: readonly ServiceShare[]
	/** Most targets that one request may be sent to. */
	readonly maxAttempts: number
	/** No key is asked for. */
	readonly isPublic: boolean
	/** Requests state their work: prompt tokens, prompt parts, most tokens out. */
	readonly requiresDeclaredWork: boolean
	/** Regions that its requests may run in. */
	readonly regions: AllowedRegions
}

/** A pool of targets. @public */
export interface Service {
	readonly name: ServiceName
	/** Connections that one target takes from all boxes together. */
	readonly maxConnections: number
	/** Tokens in an event of a stream; undefined for a plain service. */
	readonly tokensPerEvent: number | undefined
	/** How its targets bear requests after a start; undefined where they bear all at once. */
	readonly coldStart: ColdStart | undefined
}

/** A client account with its keys and its budget. @public */
export interface Account {
	readonly name: AccountName
	readonly keys: readonly string[]
	/** Rank among accounts; 0 is the most urgent. Goes before the rank of the route. */
	readonly rank: number
	/** Tokens that the account may get in all, in and out. Undefined: not limited. */
	readonly tokenBudget: number | undefined
	/** Regions that its requests may run in; they bind beside those of the route. */
	readonly regions: AllowedRegions
}

/** What a caller may send, and how long it may take. @public */
export interface RequestLimits {
	readonly maxHeaderBytes: number
	readonly maxBodyBytes: number
	readonly headerTimeoutMs: Millis
	readonly idleTimeoutMs: Millis
}

/** One version of the configuration of the traffic, whole. @public */
export interface TrafficConfig {
	readonly version: number
	readonly routes: readonly Route[]
	readonly services: readonly Service[]
	/** Undefined: no keys are asked for. */
	readonly accounts: readonly Account[] | undefined
	readonly limits: RequestLimits
}
