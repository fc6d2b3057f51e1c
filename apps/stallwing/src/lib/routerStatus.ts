import { CommandError, EXIT_CODES } from './CommandError.js'

/** A quarantined request, as a gateway tells it. */
export interface QuarantinedRequest {
	readonly fingerprint: string
	/** Lives of targets that ended under it. */
	readonly lives: readonly string[]
	/** Time since the last of them ended, in ms. */
	readonly ageMs: number
	/** Time until it may run again, in ms. */
	readonly heldMs: number
}

/** A target that gets less work, or none, because of its own word, as a gateway tells it; times in ms. */
export interface NoticedTarget {
	readonly target: string
	readonly service: string
	/** Time since it first said that it leaves; not there where it did not. */
	readonly leavingForMs?: number
	/** Time until the backoff that it asked for ends; 0 where there is none. */
	readonly backoffMs: number
	/** Requests a second that it named for all boxes, and what this box has of them; not there where it named none. */
	readonly rate?: { readonly perSecond: number; readonly share: { readonly perSecond: number } }
}

/** A router's own word on itself, as far as the command line reads it. */
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
	/** Availability zones that take no new work, as the box knows; a router of the own interface has none. */
	readonly cordonedZones?: readonly { readonly zone: string; readonly ageMs: number }[]
	/** Targets that get no work because of their own word; only of a gateway. */
	readonly noticedTargets?: readonly NoticedTarget[]
	/** Requests that end their targets and aren't sent to any; only of a gateway. */
	readonly quarantined?: readonly QuarantinedRequest[]
	/** Version of the traffic configuration; only of a gateway, which has no keeper, view or bundle. */
	readonly configuration?: number
	readonly budgets: readonly {
		readonly budget: string
		readonly billed: number
		readonly reserved: number
	}[]
}

const REQUEST_TIMEOUT_MS = 1_000

/** Asks every router; one that does not answer is undefined. */
export function fetchStatuses(urls: readonly string[]): Promise<(RouterStatus | undefined)[]> {
	return Promise.all(urls.map((url) => fetchFromRouter<RouterStatus>(`${url}/status`)))
}

/** Asks one router for a JSON document; undefined where it does not answer. */
export async function fetchFromRouter<T>(url: string): Promise<T | undefined> {
	try {
		const reply = await fetch(url, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
		return (await reply.json()) as T
	} catch {
		return undefined
	}
}

/** @throws CommandError where the settings name no router. */
export function requireRouters(urls: readonly string[]): readonly string[] {
	if (urls.length > 0) return urls
	throw new CommandError(EXIT_CODES.invalid, 'the operator settings list no "routers" to ask')
}
