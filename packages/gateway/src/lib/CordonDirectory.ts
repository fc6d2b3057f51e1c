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

/** Dependencies of a {@link CordonDirectory}. */
export interface CordonDirectoryOptions {
	/** Key prefix; the rest of a key is the name of the cordoned zone. */
	readonly prefix: string
	readonly registry: TargetRegistry
	/** Time since the store last confirmed the list, in ms; Infinity if it never has. */
	readonly listAgeMs: () => number
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Time for which a cordon stays active after a restore of the store from a backup has lost it, in ms. */
const CORDON_RETENTION_MS = 3_000

/**
 * Applies the operator's cordons of availability zones from the store to the target registry. Only the key counts; the
 * value may hold any text. Zones without listed targets are included because targets may be added later.
 */
export class CordonDirectory {
	/** Cordons in the newest list. */
	private listedCordons: readonly ZoneCordon[] = []
	/** Listed cordons, and cordons retained after a restore of the store. */
	private activeCordons: readonly ZoneCordon[] = []
	private era = 0
	private retainUntil = Number.NEGATIVE_INFINITY
	/** Keys that name no zone and have been logged. */
	private invalidKeys = new Set<string>()

	constructor(private readonly options: CordonDirectoryOptions) {}

	/** Applies all items of the list as of a revision. Ignores items that are not cordons. */
	applyItems(items: ReadonlyMap<string, StoreItem>, at: StoreRevision): void {
		const { prefix } = this.options
		if (at.era !== this.era) this.retainUntil = this.options.now() + CORDON_RETENTION_MS
		this.era = at.era
		const cordons: ZoneCordon[] = []
		const invalidKeys = new Set<string>()
		for (const { key, revision } of items.values()) {
			if (!key.startsWith(prefix)) continue
			const zone = parseZone(key.slice(prefix.length))
			if (zone) cordons.push({ zone, revision })
			else invalidKeys.add(key)
		}
		this.listedCordons = cordons
		this.updateActiveCordons()
		this.logInvalidKeys(invalidKeys)
	}

	/** Removes retained cordons when their retention time is over. Must be called several times per second. */
	maintain(): void {
		if (this.activeCordons.length > this.listedCordons.length) this.updateActiveCordons()
	}

	/** A store that was restored from a backup may lack a cordon until the operator writes it again. */
	private updateActiveCordons(): void {
		const { registry, now } = this.options
		const zones = new Set(this.listedCordons.map(({ zone }) => zone))
		const missing = this.activeCordons.filter(({ zone, revision }) => {
			return !zones.has(zone) && revision.era !== this.era && now() < this.retainUntil
		})
		this.activeCordons = [...this.listedCordons, ...missing]
		const changes = registry.replaceCordons(this.activeCordons, now())
		for (const cordon of changes.cordoned) this.logChange('zone-cordoned', cordon)
		for (const cordon of changes.reopened) this.logChange('zone-reopened', cordon)
	}

	private logChange(name: 'zone-cordoned' | 'zone-reopened', { zone, revision }: ZoneCordon): void {
		const { registry, listAgeMs, log } = this.options
		const hasTargets = registry.hasTargetIn(zone)
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

	private logInvalidKeys(keys: Set<string>): void {
		for (const key of keys) {
			if (!this.invalidKeys.has(key))
				this.options.log({ name: 'cordon-refused', fields: { key, what: 'names no zone' } })
		}
		this.invalidKeys = keys
	}
}

/** Returns undefined if the text cannot be the name of a zone. */
function parseZone(text: string): ZoneName | undefined {
	return text === '' || text.includes('/') ? undefined : brandId<ZoneName>(text)
}
