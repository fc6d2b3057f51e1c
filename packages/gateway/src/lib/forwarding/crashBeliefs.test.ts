/** Guards against a box without a path to any target taking its broken connections for crashes that requests caused. */
import { afterEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestPartitionedFleet } from './testPartitionedFleet.js'

const PARTITIONED = 0
const RUNNING_REQUESTS = 12

describe('a box whose connections to all targets are reset', () => {
	let fleet: TestPartitionedFleet
	afterEach(() => fleet.stop())

	it('holds nothing against the requests that were running', async () => {
		fleet = new TestPartitionedFleet()
		await fleet.start()
		fleet.handler = () => undefined
		for (let i = 0; i < RUNNING_REQUESTS; i++)
			void fleet.sendRequest(PARTITIONED, '/once/x', `running-${i}`)
		await sleep(300)
		await fleet.cut(PARTITIONED, 'reset')
		await sleep(500)
		expect(fleet.receivedCount).toBe(RUNNING_REQUESTS)
		const suspects = fleet.boxes.map(
			(box) => box.gateway.gauges()['stallwing_suspect_requests'] ?? NaN,
		)
		expect(suspects).toEqual([0, 0, 0, 0])
	})
})
