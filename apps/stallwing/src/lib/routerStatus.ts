import { CommandError, EXIT_CODES } from './CommandError.js'

/** A quarantined request in the status of a gateway. */
export interface QuarantinedRequest {
	readonly fingerprint: string
	/** Target incarnations that it crashed. */
	readonly lives: readonly string[]
	/** Time since the latest crash, in ms. */
	readonly ageMs: number
	/** Time until the quarantine ends, in ms. */
	readonly heldMs: number
}

/** A part of prompts of which the requests are refused, in the status of a gateway. */
export interface HeldPart extends Omit<QuarantinedRequest, 'fingerprint'> {
	readonly part: string
}

/** A target that asked a gateway for less work or none. */
export interface NoticedTarget {
	readonly target: string
	readonly service: string
	/** Time since it first announced that it is leaving, in ms; undefined if it did not. */
	readonly leavingForMs?: number
	/** Time until the backoff that it requested ends, in ms; 0 if there is none. */
	readonly backoffMs: number
	/** Rate limit that it set for all boxes, and the share of this box; undefined if it set none. */
	readonly rate?: { readonly perSecond: number; readonly share: { readonly perSecond: number } }
}

/** The part of a router's status that the command line uses. */
export interface RouterStatus {
	readonly box: string
	readonly zone: string
	readonly incarnation: string
	readonly ready: boolean
	readonly keeper: boolean
	readonly view: number
	readonly bundleVersion: number
	readonly platformUp: boolean
	readonly requests: number
	/** Availability zones that receive no new work; only present in the status of a gateway. */
	readonly cordonedZones?: readonly { readonly zone: string; readonly ageMs: number }[]
	/** Targets that asked for less work or none; only present in the status of a gateway. */
	readonly noticedTargets?: readonly NoticedTarget[]
	/** Requests that are not sent to any target because they crash targets; gateway only. */
	readonly quarantined?: readonly QuarantinedRequest[]
	/** Parts of prompts that crash targets; gateway only. */
	readonly heldParts?: readonly HeldPart[]
	/** Accounts of which tokens are withheld since the store was restored; gateway only. */
	readonly withheldTokens?: readonly { readonly account: string; readonly tokens: number }[]
	/** Version of the traffic configuration; gateway only. A gateway has no keeper, view or bundle. */
	readonly configuration?: number
	readonly budgets: readonly {
		readonly budget: string
		readonly billed: number
		readonly reserved: number
	}[]
}

const REQUEST_TIMEOUT_MS = 1_000

/** Fetches the status of every router; undefined for a router that does not answer. */
export function fetchStatuses(urls: readonly string[]): Promise<(RouterStatus | undefined)[]> {
	return Promise.all(urls.map((url) => fetchFromRouter<RouterStatus>(`${url}/status`)))
}

/** Fetches a JSON document from a router; undefined if it does not answer. */
export async function fetchFromRouter<T>(url: string): Promise<T | undefined> {
	try {
		const response = await fetch(url, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
		return (await response.json()) as T
	} catch {
		return undefined
	}
}

/** Returns the URLs. @throws CommandError if there are none. */
export function requireRouters(urls: readonly string[]): readonly string[] {
	if (urls.length > 0) return urls
	throw new CommandError(EXIT_CODES.invalid, 'the operator settings list no "routers" to ask')
}
