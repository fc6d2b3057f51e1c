import { randomBytes } from 'node:crypto'
import { brandId, type Incarnation, type Millis } from '@stallwing/core'

const TIME_DIGITS = 10
const RANDOM_BYTES = 3

/**
 * A name for one start of a box. Names sort by age; where the clock went back, the new one still
 * sorts after the one before.
 */
export function newIncarnation(now: Millis, after?: Incarnation): Incarnation {
	const last = after === undefined ? 0 : Number.parseInt(after.slice(0, TIME_DIGITS), 36)
	const time = Math.max(now, last + 1)
		.toString(36)
		.padStart(TIME_DIGITS, '0')
	return brandId<Incarnation>(`${time}-${randomBytes(RANDOM_BYTES).toString('hex')}`)
}
