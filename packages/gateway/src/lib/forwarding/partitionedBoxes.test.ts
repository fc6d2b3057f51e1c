/** Guards against boxes that fail their callers because they reach no target, while other boxes reach all of them. */
import { afterEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestPartitionedFleet } from './testPartitionedFleet.js'
import type { LinkCut } from './testTargetLink.js'

/** Time from the start of a partition after which callers must be served again, in ms. */
const CONTACT_MS = 3_000
/** Requests that may fail at partitioned boxes after that time: a number, and a share of all. */
const ALLOWED_FAILURES = 10
const ALLOWED_FAILURE_SHARE = 1 / 50
const MEASURED_MS = 2_000

describe('boxes that are partitioned from all targets', () => {
	let fleet: TestPartitionedFleet
	afterEach(() => fleet.stop())

	it.each<LinkCut>(['reset', 'refuse', 'hang'])(
		'serve their callers through other boxes if connections %s',
		async (cut) => {
			fleet = new TestPartitionedFleet()
			await fleet.start()
			const traffic = fleet.sendRequests(CONTACT_MS + MEASURED_MS)
			await sleep(500)
			const cutAt = performance.now()
			await Promise.all([fleet.cut(0, cut), fleet.cut(1, cut)])
			const results = await traffic
			const later = results.filter(({ at }) => at >= cutAt + CONTACT_MS)
			const partitioned = later.filter(({ box }) => box <= 1)
			const others = later.filter(({ box }) => box > 1)
			expect(partitioned.length).toBeGreaterThan(50)
			expect(partitioned.filter(({ isServed }) => !isServed).length).toBeLessThanOrEqual(
				ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * partitioned.length,
			)
			expect(others.filter(({ isServed }) => !isServed)).toEqual([])
			expect(fleet.repeatedIds).toEqual([])
		},
	)
})
