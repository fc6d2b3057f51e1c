import type { StoreLayout } from '../StoreLayout.js'

/** Prefix of the records of streams that may be taken up again, one item for each process. */
export const STREAM_ORIGIN_PREFIX = 'stallwing/stream-origins/'

/** Key of the software versions of targets that have served recently; listed together with the boxes. */
export function versionsKeyOf({ fleetPrefix }: Pick<StoreLayout, 'fleetPrefix'>): string {
	return `${fleetPrefix}-versions`
}
