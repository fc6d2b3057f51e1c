import {
	brandId,
	type BoxName,
	type LogEvent,
	type ServiceName,
	type SoftwareVersion,
	type StreamOrigin,
} from '@stallwing/core'
import { MemoryStore, type CallOutcome } from '@stallwing/standins'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { sleep } from '../sleep.js'
import { StoredOrigins } from './StoredOrigins.js'

// Guards against streams that are refused after a restart of all boxes although their version still serves, and against a
// store that is written more than it bears.

const STEP_MS = 250

function originOf(request: string): StreamOrigin {
	return {
		request,
		service: brandId<ServiceName>('s'),
		version: brandId<SoftwareVersion>('1'),
		account: undefined,
	}
}

describe('StoredOrigins', () => {
	let store: MemoryStore
	let outcome: CallOutcome

	beforeEach(() => {
		vi.useFakeTimers()
		outcome = 'served'
		store = new MemoryStore({ now: () => Date.now(), sleep, outcomeOf: () => outcome })
	})
	afterEach(() => void vi.useRealTimers())

	function createBox(name: string, boxCount: number, unfinished: readonly StreamOrigin[]) {
		const logEvents: LogEvent[] = []
		const origins = new StoredOrigins({
			store: store.connect(name),
			prefix: 'origins/',
			box: brandId<BoxName>(name),
			incarnation: `${Date.now()}`,
			boxCount: () => boxCount,
			unfinished: () => unfinished,
			now: () => Date.now(),
			log: (event) => logEvents.push(event),
		})
		return { origins, logEvents }
	}

	async function run(boxes: readonly { origins: StoredOrigins }[], ms: number): Promise<void> {
		for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
			for (const { origins } of boxes) origins.maintain()
			await vi.advanceTimersByTimeAsync(STEP_MS)
		}
	}

	async function find(origins: StoredOrigins, request: string): Promise<StreamOrigin | undefined> {
		const found = origins.find(request)
		await vi.advanceTimersByTimeAsync(100)
		return found
	}

	it('are found by a box that starts after all others, for as long as a stream can last', async () => {
		await run([createBox('a', 2, [originOf('r1')]), createBox('b', 2, [originOf('r2')])], 1_000)
		await vi.advanceTimersByTimeAsync(30_000)
		const { origins } = createBox('a', 2, [])
		expect(await find(origins, 'r1')).toEqual(originOf('r1'))
		expect(await find(origins, 'r2')).toEqual(originOf('r2'))
		expect(await find(origins, 'r3')).toBeUndefined()
		await vi.advanceTimersByTimeAsync(120_000)
		expect(await find(createBox('a', 2, []).origins, 'r1')).toBeUndefined()
	})

	it.each([7, 75, 499])('are written by %i boxes at a pace that the store bears', async (count) => {
		const streams = Array.from({ length: count }, () => [originOf('r')])
		const boxes = streams.map((list, i) => createBox(`box-${i}`, count, list))
		const seconds = 60
		for (let second = 0; second < seconds; second++) {
			for (const list of streams) list.push(originOf(`r${second}`))
			await run(boxes, 1_000)
		}
		// Each box writes once at the start, and renews a lease every 30 s.
		const written = (store.callCounts.get('write') ?? 0) - count
		expect(written / seconds).toBeLessThanOrEqual(21)
		expect(store.callCounts.get('lease') ?? 0).toBeLessThanOrEqual(3 * count)
	})

	it('are not written while no stream needs it', async () => {
		await run([createBox('a', 1, [])], 5_000)
		expect(store.callCounts.size).toBe(0)
	})

	it('are written again after a failure, which is logged', async () => {
		const box = createBox('a', 1, [originOf('r1')])
		outcome = 'refused'
		await run([box], 1_000)
		expect(box.logEvents[0]?.name).toBe('stream-record-not-stored')
		outcome = 'served'
		await run([box], 2_000)
		expect(await find(createBox('b', 1, []).origins, 'r1')).toEqual(originOf('r1'))
	})
})
