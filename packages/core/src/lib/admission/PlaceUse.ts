/**
 * Places of the targets of a service and their use, as one box knows them. Targets that accept no requests or hang are
 * left out. @public
 */
export interface PlaceUse {
	/** Requests that the targets can process concurrently; 0 if unknown. */
	readonly places: number
	/** Requests at the targets according to their recent reports. */
	readonly reported: number
	/** Requests of this box at the targets. */
	readonly own: number
	/** Requests of other boxes at the targets, according to their recent reports. */
	readonly peers: number
	/** Mean age of the reports of the targets, in ms. */
	readonly reportedAgeMs: number
	/** Mean age of the reports of other boxes, in ms. */
	readonly peersAgeMs: number
	/** True if the targets or other boxes have reported recently, so that the use is known. */
	readonly isKnown: boolean
}

/** @public */
export const NO_PLACE_USE: PlaceUse = {
	places: 0,
	reported: 0,
	own: 0,
	peers: 0,
	reportedAgeMs: 0,
	peersAgeMs: 0,
	isKnown: false,
}
