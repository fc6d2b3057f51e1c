/**
 * What would be seen: a target resets connections, and requests on them may have run, although each box keeps to its
 * part of the connections that the target takes from all boxes.
 * How it comes about: more boxes than connections; each has room for one all the same.
 * Cause: a bound over all boxes that each kept for itself, by a part that is one at least.
 * Proof: counted over all boxes, with 75 and 499 of them.
 */
import { brandId, type BoxName, type ServiceName, type TargetName } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import { ServiceLimits } from './ServiceLimits.js'

const SERVICE = brandId<ServiceName>('service')
const TARGETS = Array.from({ length: 20 }, (_, i) => brandId<TargetName>(`t${i}`))
/** Connections of a box to a target that nobody would go beyond. */
const MANY = 1_000

/** Connections that all boxes together may open to a target. */
function connectionsOf(target: TargetName, boxes: readonly BoxName[], most: number): number {
	let sum = 0
	for (const self of boxes) {
		let inUse = 0
		const limits = new ServiceLimits({
			self,
			pools: { inUse: () => inUse },
			serviceOf: () => SERVICE,
			maxConnections: () => most,
			lowestMaxConnections: () => most,
			boxCount: () => boxes.length,
			boxNames: () => boxes,
		})
		while (inUse < MANY && !limits.isAtConnectionLimit(target)) inUse++
		sum += inUse
	}
	return sum
}

describe('connections to a target', () => {
	it.each([
		[7, 100],
		[75, 100],
		[75, 20],
		[499, 100],
		[499, 610],
		[499, 1],
	])(
		'of %i boxes stay within the %i that it takes from all, and use half of them',
		(count, most) => {
			const boxes = Array.from({ length: count }, (_, i) => brandId<BoxName>(`box-${i}`))
			for (const target of TARGETS) {
				const connections = connectionsOf(target, boxes, most)
				expect(connections).toBeLessThanOrEqual(most)
				expect(connections).toBeGreaterThanOrEqual(most / 2)
			}
		},
	)

	it('are bounded for no box where the service states no bound', () => {
		const boxes = [brandId<BoxName>('box-0')]
		expect(connectionsOf(brandId<TargetName>('t'), boxes, Infinity)).toBe(MANY)
	})
})
