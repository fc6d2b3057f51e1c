import type { RegionName } from '../ids.js'

/** Regions in which requests of a route or an account may run; undefined if they may run anywhere. @public */
export type AllowedRegions = readonly RegionName[] | undefined

/**
 * True if every list allows the region. An unknown region is allowed only if no list restricts regions.
 * @public
 */
export function allowsRegion(
	region: RegionName | undefined,
	...lists: readonly AllowedRegions[]
): boolean {
	return lists.every((list) => !list || (region !== undefined && list.includes(region)))
}
