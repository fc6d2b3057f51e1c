import {
	brandId,
	describeRevision,
	type LogEvent,
	type StoreRevision,
	type TargetRegistry,
	type ZoneCordon,
	type ZoneName,
} from '@stallwing/core'
import type { StoreItem } from '@stallwing/store'
import { roundAge } from './roundAge.js'

/** What a {@link CordonDirectory} works with. */
export interface CordonDirectoryOptions {
	/** Below it lies one item for each cordoned zone, under the name of the zone. */
	readonly prefix: string
	readonly registry: TargetRegistry
	/** Time since the store last vouched for the list, in ms; Infinity: never. */
	readonly listAgeMs: () => number
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Time for which a cordon is kept that a store lacks which came back from a copy, in ms. */
const CORDON_RETENTION_MS = 3_000

/**
 * Takes the operator's cordons of availability zones from the store to the board. The key alone says it: what
 * is written below it is not read, so that a note that an operator left there does no harm. A zone that no
 * target is listed in is kept as well: targets may come.
 */
export class CordonDirectory {
	/** Cordons of the newest list. */
	private listedCordons: readonly ZoneCordon[] = []
	/** Cordons that hold, those that are kept for a moment included. */
	private activeCordons: readonly ZoneCordon[] = []
	private era = 0
	private retainUntil = Number.NEGATIVE_INFINITY
	/** Keys that name no zone and were logged. */
	private invalidKeys = new Set<string>()

	constructor(private readonly options: CordonDirectoryOptions) {}

	/** Takes all items of the list, as known up to a revision; those that are no cordons are left aside. */
	applyItems(items: ReadonlyMap<string, StoreItem>, at: StoreRevision): void {
		const { prefix } = this.options
		if (at.era !== this.era) this.retainUntil = this.options.now() + CORDON_RETENTION_MS
		this.era = at.era
		const cordons: ZoneCordon[] = []
		const refused = new Set<string>()
		for (const { key, revision } of items.values()) {
			if (!key.startsWith(prefix)) continue
			const zone = parseZone(key.slice(prefix.length))
			if (zone) cordons.push({ zone, revision })
			else refused.add(key)
		}
		this.listedCordons = cordons
		this.updateActiveCordons()
		this.logInvalidKeys(refused)
	}

	/** Gives up what was kept for a moment. To be called some times a second. */
	maintain(): void {
		if (this.activeCordons.length > this.listedCordons.length) this.updateActiveCordons()
	}

	/** A store that came back from a copy may lack a cordon, until the operator has written it again. */
	private updateActiveCordons(): void {
		const { registry: board, now } = this.options
		const zones = new Set(this.listedCordons.map(({ zone }) => zone))
		const missing = this.activeCordons.filter(({ zone, revision }) => {
			return !zones.has(zone) && revision.era !== this.era && now() < this.retainUntil
		})
		this.activeCordons = [...this.listedCordons, ...missing]
		const changes = board.replaceCordons(this.activeCordons, now())
		for (const cordon of changes.cordoned) this.logChange('zone-cordoned', cordon)
		for (const cordon of changes.reopened) this.logChange('zone-reopened', cordon)
	}

	private logChange(name: 'zone-cordoned' | 'zone-reopened', { zone, revision }: ZoneCordon): void {
		const { registry: board, listAgeMs, log } = this.options
		const hasTargets = board.hasTargetIn(zone)
		log({
			name,
			fields: {
				zone,
				revision: describeRevision(revision),
				hasTargets,
				listAgeMs: roundAge(listAgeMs()),
			},
		})
	}

	private logInvalidKeys(refused: Set<string>): void {
		for (const key of refused) {
			if (!this.invalidKeys.has(key))
				this.options.log({ name: 'cordon-refused', fields: { key, what: 'names no zone' } })
		}
		this.invalidKeys = refused
	}
}

/** Undefined where the text can't be the name of a zone. */
function parseZone(text: string): ZoneName | undefined {
	return text === '' || text.includes('/') ? undefined : brandId<ZoneName>(text)
}
