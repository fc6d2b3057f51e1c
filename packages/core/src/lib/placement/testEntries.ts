import { brandId, type ServiceName, type TargetName, type ZoneName } from '../ids.js'
import type { PlacementQuery } from './Placement.js'
import type { TargetEntry } from './TargetEntry.js'

export const SERVICE = brandId<ServiceName>('engine')
export const ZONE = brandId<ZoneName>('z1')

/** Creates an entry of a target that is ready, with `changes` applied. */
export function entry(name: string, changes: Partial<TargetEntry> = {}): TargetEntry {
	return {
		name: brandId<TargetName>(name),
		service: SERVICE,
		address: `10.0.0.1:${name.length}`,
		zone: ZONE,
		slots: 8,
		leaving: false,
		coldMs: 0,
		bornAt: undefined,
		revision: { era: 1, number: 1 },
		...changes,
	}
}

/** Creates a query that allows any target, with `changes` applied. */
export function query(changes: Partial<PlacementQuery> = {}): PlacementQuery {
	return {
		service: SERVICE,
		zone: ZONE,
		work: undefined,
		tried: new Set(),
		isFull: () => false,
		hasIdleConnection: () => true,
		mayRunIn: () => true,
		...changes,
	}
}
