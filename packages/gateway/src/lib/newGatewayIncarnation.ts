import { brandId, type Incarnation } from '@stallwing/core'

/** Random identifier for one start of a process. @public */
export function newGatewayIncarnation(random: () => number): Incarnation {
	return brandId<Incarnation>(Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36))
}
