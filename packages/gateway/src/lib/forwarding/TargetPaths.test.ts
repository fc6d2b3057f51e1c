/** Guards against targets that are down being taken for a lost path of this box, and the other way round. */
import { TargetRegistry, brandId, type ServiceName, type TargetEntry } from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import { beforeEach, describe, expect, it } from 'vitest'
import type { ConnectionPool, ProbeResult } from '../ConnectionPool.js'
import { targetEntryOf } from '../testBox.js'
import { TargetPaths } from './TargetPaths.js'

const OTHER_SERVICE = brandId<ServiceName>('other')
const ENTRIES: readonly TargetEntry[] = [
	...['a1', 'a2', 'a3', 'a4'].map((name) => targetEntryOf(name, '127.0.0.1:1')),
	{ ...targetEntryOf('b1', '127.0.0.1:1'), service: OTHER_SERVICE },
]
const [CRASHED] = ENTRIES

describe('TargetPaths', () => {
	let down: Set<string>
	let paths: TargetPaths

	beforeEach(() => {
		down = new Set()
		const registry = new TargetRegistry()
		registry.replace(ENTRIES, 0)
		const poolFor = ({ name }: TargetEntry): ConnectionPool => {
			const result: ProbeResult = down.has(name) ? 'refused' : 'accepted'
			const pool: Partial<ConnectionPool> = { probe: () => Promise.resolve(result) }
			return pool as ConnectionPool
		}
		paths = new TargetPaths({
			registry,
			poolFor,
			closeIdle: () => undefined,
			peers: () => [],
			createPeerPool: () => poolFor(ENTRIES[0] as TargetEntry),
			isLinkSaturated: () => false,
			metrics: new Metrics(),
			now: () => 0,
			random: () => 0,
			log: () => undefined,
		})
	})

	function reachesAnother(): Promise<boolean> {
		if (!CRASHED) throw new Error('no target')
		return paths.reachesAnotherTarget(CRASHED)
	}

	it('reaches another target while some of the service are up', async () => {
		down = new Set(['a1', 'a2'])
		expect(await reachesAnother()).toBe(true)
	})

	it('reaches another target while only targets of another service are up', async () => {
		down = new Set(['a1', 'a2', 'a3', 'a4'])
		expect(await reachesAnother()).toBe(true)
	})

	it('reaches no other target while all of them refuse connections', async () => {
		down = new Set(['a1', 'a2', 'a3', 'a4', 'b1'])
		expect(await reachesAnother()).toBe(false)
	})
})
