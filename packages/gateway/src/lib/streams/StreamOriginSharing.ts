import {
	StreamOrigins,
	originHolders,
	type FleetMember,
	type LogEvent,
	type LogValue,
	type ServiceName,
	type SoftwareVersion,
	type StreamOrigin,
	type TargetRegistry,
} from '@stallwing/core'
import type { PeerDatagrams } from '../PeerDatagrams.js'
import type { KnownVersions } from './KnownVersions.js'
import type { OriginLookup, OriginQuery, OriginResponse, OriginSource } from './OriginLookup.js'
import type { OriginSearch } from './OriginSearch.js'
import { decodeOrigins, encodeOrigins } from './streamOriginCodec.js'

/** Number of listed targets of one software version of a service. @public */
export interface VersionStatus {
	readonly service: ServiceName
	readonly version: SoftwareVersion
	readonly targets: number
}

/** Streams in the status of a box. @public */
export interface StreamsStatus {
	/** Number of streams of which this box knows the origin. */
	readonly origins: number
	/** Number of searches for the origin of a stream, by result, since the process started. */
	readonly lookups: Readonly<Record<OriginLookup['kind'], number>>
	/** Number of origins that were found, by where. */
	readonly foundAt: Readonly<Record<OriginSource, number>>
	/** False if a box that started lately does not know which versions had served before. */
	readonly isHistoryKnown: boolean
	/** Versions of the services that have more than one. */
	readonly versions: readonly VersionStatus[]
}

export interface StreamOriginSharingOptions {
	readonly registry: TargetRegistry
	readonly datagrams: PeerDatagrams
	readonly otherMembers: () => readonly FleetMember[]
	readonly known: KnownVersions
	readonly search: Pick<OriginSearch, 'lookUp'>
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** About 1,000 bytes, so that datagrams are not fragmented. */
const MAX_ORIGINS_PER_DATAGRAM = 8

/**
 * Knows at which software version recent streams began, at this box or at others, so that they go on at the same one. While
 * targets of several versions serve, each origin is sent to a few boxes before the first event is forwarded. A box that
 * resumes a stream asks these boxes, then others, then looks in the store. Nothing is sent while the box knows that a service
 * has a single version.
 */
export class StreamOriginSharing {
	/** Streams that began at this box and have not completed. */
	private readonly own = new StreamOrigins()
	/** Streams of other boxes. */
	private readonly received = new StreamOrigins()
	/** Services whose streams are sent to other boxes. */
	private readonly sharedServices = new Set<ServiceName>()
	private readonly lookupCounts: Record<OriginLookup['kind'], number> = {
		found: 0,
		'one-version': 0,
		unknown: 0,
		unconfirmed: 0,
	}
	private readonly sourceCounts: Record<OriginSource, number> = {
		'this box': 0,
		'another box': 0,
		store: 0,
	}

	constructor(private readonly options: StreamOriginSharingOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	/** Must be called before the first event of a stream is forwarded. */
	noteBegan(origin: StreamOrigin): void {
		this.own.add(origin, this.options.now())
		if (this.sharesOrigins(origin.service)) this.sendToHolders([origin])
	}

	/** Forgets a stream that was forwarded completely. */
	noteCompleted(request: string): void {
		this.own.delete(request)
	}

	/** Shares the streams of services that have, or may have, got a second version. Must be called several times per second. */
	maintain(): void {
		for (const service of this.options.registry.services) {
			const isShared = this.sharesOrigins(service)
			if (isShared && !this.sharedServices.has(service))
				this.sendToHolders(this.own.ofService(service, this.options.now()))
			if (isShared) this.sharedServices.add(service)
			else this.sharedServices.delete(service)
		}
	}

	/** Streams that began at this box at services with several versions, and have not completed. */
	unfinishedOfMixed(): readonly StreamOrigin[] {
		const now = this.options.now()
		const mixed = [...this.sharedServices].filter((service) => this.options.known.isMixed(service))
		return mixed.flatMap((service) => this.own.ofService(service, now))
	}

	/** While its list is not current, a box cannot know that a service has a single version. */
	private sharesOrigins(service: ServiceName): boolean {
		return this.options.known.isMixed(service) || !this.options.known.isListCurrent
	}

	/** Finds where a stream began. */
	async find(query: OriginQuery): Promise<OriginLookup> {
		const facts = this.options.known.describe(query.service)
		const responses: OriginResponse[] = []
		const local = this.findLocally(query.request)
		const lookup: OriginLookup = local
			? { kind: 'found', origin: local, source: 'this box' }
			: await this.options.search.lookUp(query, responses)
		this.lookupCounts[lookup.kind]++
		if (lookup.kind === 'found') this.sourceCounts[lookup.source]++
		const fields = { ...describeLookup(query, lookup), ...facts, answers: responses.length }
		this.options.log({ name: 'stream-looked-up', fields })
		return lookup
	}

	/** Answers another box that resumes a stream. */
	answer(request: string, service: ServiceName): OriginResponse {
		const { known } = this.options
		return {
			origin: this.findLocally(request),
			isMixed: known.isMixed(service),
			knowsHistory: known.isComplete(service),
			versions: [...known.recentOf(service)],
		}
	}

	gauges(): Readonly<Record<string, number>> {
		const gauges: Record<string, number> = { stallwing_stream_origins: this.size }
		for (const [kind, count] of Object.entries(this.lookupCounts))
			gauges[`stallwing_stream_lookups_total{result="${kind}"}`] = count
		for (const [source, count] of Object.entries(this.sourceCounts))
			gauges[`stallwing_stream_origins_found_total{source="${source}"}`] = count
		gauges['stallwing_version_history_known'] = this.options.known.isHistoryKnown ? 1 : 0
		for (const { service, version, targets } of this.versionRows)
			gauges[`stallwing_version_targets{service="${service}",version="${version}"}`] = targets
		return gauges
	}

	get status(): StreamsStatus {
		return {
			origins: this.size,
			lookups: this.lookupCounts,
			foundAt: this.sourceCounts,
			isHistoryKnown: this.options.known.isHistoryKnown,
			versions: this.versionRows,
		}
	}

	private get size(): number {
		return this.own.size + this.received.size
	}

	/** Listed targets by version, of the services with several versions. */
	private get versionRows(): readonly VersionStatus[] {
		const { registry } = this.options
		return registry.services.flatMap((service) => {
			const counts = registry.versions.countsOf(service)
			if (counts.size < 2) return []
			return [...counts].map(([version, targets]) => ({ service, version, targets }))
		})
	}

	private findLocally(request: string): StreamOrigin | undefined {
		const now = this.options.now()
		return this.own.find(request, now) ?? this.received.find(request, now)
	}

	private sendToHolders(origins: readonly StreamOrigin[]): void {
		const byAddress = new Map<string, StreamOrigin[]>()
		for (const origin of origins) {
			for (const { address } of originHolders(origin.request, this.options.otherMembers()))
				byAddress.set(address, [...(byAddress.get(address) ?? []), origin])
		}
		for (const [address, rows] of byAddress) {
			for (let i = 0; i < rows.length; i += MAX_ORIGINS_PER_DATAGRAM)
				this.options.datagrams.send(
					encodeOrigins(rows.slice(i, i + MAX_ORIGINS_PER_DATAGRAM)),
					address,
				)
		}
	}

	private receive(bytes: Buffer): boolean {
		const origins = decodeOrigins(bytes)
		if (!origins) return false
		for (const origin of origins) this.received.add(origin, this.options.now())
		return true
	}
}

function describeLookup(
	{ request, resumedBy, service }: OriginQuery,
	lookup: OriginLookup,
): Readonly<Record<string, LogValue>> {
	const found = lookup.kind === 'found' ? lookup : undefined
	return {
		request: resumedBy,
		resumes: request,
		service,
		result: lookup.kind,
		version: found?.origin.version ?? '',
		source: found?.source ?? '',
	}
}
