// Guards against fleets that open more connections to a target than it accepts: the target resets the excess, and
// requests on those connections may have run.
import { brandId, type BoxName, type ServiceName, type TargetName } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import { ServiceLimits } from './ServiceLimits.js'

const SERVICE = brandId<ServiceName>('service')
const TARGETS = Array.from({ length: 20 }, (_, i) => brandId<TargetName>(`t${i}`))
/** Maximum number of connections that the test opens per box. */
const MAX_OPENED = 1_000

/** Connections that all boxes together may open to a target. */
function connectionsOf(
	target: TargetName,
	boxes: readonly BoxName[],
	maxConnections: number,
): number {
	let sum = 0
	for (const self of boxes) {
		let inUse = 0
		const limits = new ServiceLimits({
			self,
			pools: { inUse: () => inUse },
			serviceOf: () => SERVICE,
			maxConnections: () => maxConnections,
			lowestMaxConnections: () => maxConnections,
			boxCount: () => boxes.length,
			boxNames: () => boxes,
		})
		while (inUse < MAX_OPENED && !limits.isAtConnectionLimit(target)) inUse++
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
		'of %i boxes stay within the limit of %i and use at least half of it',
		(count, maxConnections) => {
			const boxes = Array.from({ length: count }, (_, i) => brandId<BoxName>(`box-${i}`))
			for (const target of TARGETS) {
				const connections = connectionsOf(target, boxes, maxConnections)
				expect(connections).toBeLessThanOrEqual(maxConnections)
				expect(connections).toBeGreaterThanOrEqual(maxConnections / 2)
			}
		},
	)

	it('are unlimited if the service sets no limit', () => {
		const boxes = [brandId<BoxName>('box-0')]
		expect(connectionsOf(brandId<TargetName>('t'), boxes, Infinity)).toBe(MAX_OPENED)
	})
})
