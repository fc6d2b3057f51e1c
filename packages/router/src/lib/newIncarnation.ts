import { randomBytes } from 'node:crypto'
import { brandId, type Incarnation, type Millis } from '@stallwing/core'

const TIME_DIGITS = 10
const RANDOM_BYTES = 3

/**
 * Creates the name of a new incarnation of a box. Names sort by age. If the clock went back, the name
 * still sorts after that of the previous incarnation.
 */
export function newIncarnation(now: Millis, previous?: Incarnation): Incarnation {
	const previousTime =
		previous === undefined ? 0 : Number.parseInt(previous.slice(0, TIME_DIGITS), 36)
	const time = Math.max(now, previousTime + 1)
		.toString(36)
		.padStart(TIME_DIGITS, '0')
	return brandId<Incarnation>(`${time}-${randomBytes(RANDOM_BYTES).toString('hex')}`)
}
