import {
	possibleOriginHolders,
	type FleetMember,
	type ServiceName,
	type SoftwareVersion,
	type StreamOrigin,
} from '@stallwing/core'
import { sleep } from '../sleep.js'
import type { KnownVersions } from './KnownVersions.js'
import type { OriginLookup, OriginQuery, OriginResponse } from './OriginLookup.js'
import type { StoredOrigins } from './StoredOrigins.js'

/** Dependencies of an {@link OriginSearch}. */
export interface OriginSearchOptions {
	readonly known: KnownVersions
	readonly self: FleetMember
	readonly otherMembers: () => readonly FleetMember[]
	/** Asks another box; resolves to undefined if it does not answer. */
	readonly ask: (
		address: string,
		request: string,
		service: ServiceName,
	) => Promise<OriginResponse | undefined>
	readonly stored: Pick<StoredOrigins, 'find'>
}

/** Maximum number of boxes that are asked if no holder knows a stream. */
const MAX_FURTHER_BOXES = 12
/** Time for which a search waits for the store, in ms. */
const STORE_WAIT_MS = 400
/** The same while the store does not confirm the list of targets, in ms. */
const STALE_STORE_WAIT_MS = 200

/** Looks for the origins of streams at other boxes and in the store, unless a single version can have begun them. */
export class OriginSearch {
	constructor(private readonly options: OriginSearchOptions) {}

	/** Looks for the origin of a stream that this box does not hold. Adds the answers of other boxes to `responses`. */
	async lookUp(query: OriginQuery, responses: OriginResponse[]): Promise<OriginLookup> {
		const { request, service } = query
		const { known } = this.options
		const { isListCurrent } = known
		// Another version may be listed while boxes are asked, or before the stream goes on.
		const versions = new Set(known.recentOf(service))
		const isComplete = known.isComplete(service)
		if (versions.size < 2 && known.isCertain(service)) return oneVersion(versions)
		// Without contact to the store, it is asked at the same time as the boxes, so that a refusal comes at once.
		const early = isListCurrent ? undefined : this.searchStore(request, STALE_STORE_WAIT_MS)
		const origin = await this.askOthers(query, responses)
		if (origin) return { kind: 'found', origin, source: 'another box' }
		for (const response of responses) for (const name of response.versions ?? []) versions.add(name)
		const isMixed = versions.size > 1 || responses.some((response) => response.isMixed)
		if (!isMixed && this.isConfirmed(isComplete, responses)) {
			known.noteSingle(service)
			return oneVersion(versions)
		}
		const stored = await (early ?? this.searchStore(request, STORE_WAIT_MS))
		if (stored?.service === service) return { kind: 'found', origin: stored, source: 'store' }
		return { kind: isMixed || isListCurrent ? 'unknown' : 'unconfirmed' }
	}

	/** True if this box or one that has answered knows all versions: what no box knows is not a single version. */
	private isConfirmed(isComplete: boolean, responses: readonly OriginResponse[]): boolean {
		if (responses.some(confirmsVersions)) return true
		const { known, otherMembers } = this.options
		const isReached = responses.length > 0 || otherMembers().length === 0
		return isComplete && (known.isListedByOthers || isReached)
	}

	/** Asks the holders of a stream and then other boxes; without contact to the store, all at the same time. */
	private async askOthers(
		{ request, service }: OriginQuery,
		responses: OriginResponse[],
	): Promise<StreamOrigin | undefined> {
		const rounds = this.addressesToAsk(request)
		for (const addresses of this.options.known.isListCurrent ? rounds : [rounds.flat()]) {
			const origin = await this.askAll(addresses, request, service, responses)
			if (origin) return origin
		}
		return undefined
	}

	/** Looks in the store, which outlasts all boxes. */
	private searchStore(request: string, waitMs: number): Promise<StreamOrigin | undefined> {
		const late = sleep(waitMs).then(() => undefined)
		return Promise.race([this.options.stored.find(request), late])
	}

	/** Asks boxes at the same time. Resolves to the first origin that one of them knows. */
	private askAll(
		addresses: readonly string[],
		request: string,
		service: ServiceName,
		responses: OriginResponse[],
	): Promise<StreamOrigin | undefined> {
		return new Promise((resolve) => {
			const asked = addresses.map(async (address) => {
				const response = await this.options.ask(address, request, service)
				if (!response) return
				responses.push(response)
				if (response.origin) resolve(response.origin)
			})
			void Promise.all(asked).then(() => resolve(undefined))
		})
	}

	/** The boxes that may hold a stream, then further ones, among them the box at which it began. */
	private addressesToAsk(request: string): readonly (readonly string[])[] {
		const others = this.options.otherMembers()
		const holders = new Set(possibleOriginHolders(request, [this.options.self, ...others]))
		const addressOf = ({ address }: FleetMember): string => address
		const further = others.filter((member) => !holders.has(member)).map(addressOf)
		return [
			others.filter((member) => holders.has(member)).map(addressOf),
			further.slice(0, MAX_FURTHER_BOXES),
		]
	}
}

function oneVersion([version]: ReadonlySet<SoftwareVersion>): OriginLookup {
	return { kind: 'one-version', version }
}

/** True if another box knows all versions at which a stream can have begun. */
function confirmsVersions({ knowsHistory, versions }: OriginResponse): boolean {
	return knowsHistory && versions !== undefined
}
