import type { AccountName, ServiceName, SoftwareVersion } from '../ids.js'
import { MAX_STREAM_AGE_MS } from '../placement/ServiceVersions.js'
import type { Millis } from '../units.js'

/** Where a stream began. @public */
export interface StreamOrigin {
	/** Id of the request that brought its first event. */
	readonly request: string
	readonly service: ServiceName
	/** Software version of the target that wrote its first event. */
	readonly version: SoftwareVersion
	/** Account of the caller; undefined if the route is public. */
	readonly account: AccountName | undefined
}

/** Maximum number of streams, so that memory is bounded. The oldest are dropped first. */
const MAX_STREAMS = 20_000

/** The origins of recent streams, by the request that began them. @public */
export class StreamOrigins {
	/** In the order in which they were added. */
	private readonly origins = new Map<
		string,
		{ readonly origin: StreamOrigin; readonly at: Millis }
	>()

	get size(): number {
		return this.origins.size
	}

	add(origin: StreamOrigin, now: Millis): void {
		this.dropOld(now)
		this.origins.delete(origin.request)
		this.origins.set(origin.request, { origin, at: now })
	}

	find(request: string, now: Millis): StreamOrigin | undefined {
		const found = this.origins.get(request)
		return found && now - found.at <= MAX_STREAM_AGE_MS ? found.origin : undefined
	}

	delete(request: string): void {
		this.origins.delete(request)
	}

	/** All streams of a service. */
	ofService(service: ServiceName, now: Millis): readonly StreamOrigin[] {
		this.dropOld(now)
		return [...this.origins.values()].flatMap(({ origin }) =>
			origin.service === service ? [origin] : [],
		)
	}

	private dropOld(now: Millis): void {
		for (const [request, { at }] of this.origins) {
			if (this.origins.size < MAX_STREAMS && now - at <= MAX_STREAM_AGE_MS) return
			this.origins.delete(request)
		}
	}
}
