import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestVersionFleet, type ReceivedStream } from './testVersionFleet.js'

// Guards against streams with events of two software versions. After a restart of all boxes, no box knew where a stream had
// begun, and the listed version was used for all of them.

const STREAM_COUNT = 12
const BOX_COUNT = 3
/** Time in which boxes store what a restart of all of them needs, in ms. */
const STORED_AFTER_MS = 1_500

interface Outcome {
	readonly mixed: number
	readonly whole: number
	readonly refused: number
}

describe('streams that are taken up after all boxes were killed', { timeout: 30_000 }, () => {
	let fleet: TestVersionFleet

	beforeEach(() => {
		fleet = new TestVersionFleet()
		fleet.eventIntervalMs = 100
	})
	afterEach(() => fleet.stop())

	/** Begins streams, lets `meanwhile` happen, kills and restarts all boxes, and takes the streams up. */
	async function restart(meanwhile: () => Promise<void>, times = 1): Promise<Outcome> {
		let onRestarted: () => void = () => undefined
		const restarted = new Promise<void>((resolve) => (onRestarted = resolve))
		const streams = Array.from({ length: STREAM_COUNT }, (_, i) =>
			fleet.requestStream(i % BOX_COUNT, {
				afterEvents: 1 + (i % 4),
				box: (i + 1) % BOX_COUNT,
				meanwhile: () => restarted,
			}),
		)
		await sleep(500)
		await meanwhile()
		for (let i = 0; i < times; i++) await fleet.killAll()
		onRestarted()
		return outcomeOf(await Promise.all(streams))
	}

	it('go on if there was one version only', async () => {
		await fleet.start(['1', '1'], BOX_COUNT)
		const { mixed, whole } = await restart(() => Promise.resolve())
		expect({ mixed, whole }).toEqual({ mixed: 0, whole: STREAM_COUNT })
	})

	it.each([
		['just before', 0],
		['some time before', STORED_AFTER_MS],
	])('are refused if their version has gone %s', async (_name, leftMs) => {
		await fleet.start(['1', '1'], BOX_COUNT)
		const outcome = await restart(async () => {
			await fleet.addTarget('new', '2')
			await sleep(300)
			fleet.removeTarget('t0')
			fleet.removeTarget('t1')
			await sleep(300 + leftMs)
		})
		expect(outcome).toEqual({ mixed: 0, whole: 0, refused: STREAM_COUNT })
	})

	it('are refused if their version has gone, after a second restart too', async () => {
		await fleet.start(['1', '1'], BOX_COUNT)
		const outcome = await restart(async () => {
			await fleet.addTarget('new', '2')
			await sleep(300)
			fleet.removeTarget('t0')
			fleet.removeTarget('t1')
			await sleep(300)
		}, 2)
		expect(outcome).toEqual({ mixed: 0, whole: 0, refused: STREAM_COUNT })
	})

	it('go on at their version if it still serves beside another one', async () => {
		await fleet.start(['1', '2', '1', '2'], BOX_COUNT)
		const { mixed, whole } = await restart(() => sleep(STORED_AFTER_MS))
		expect(mixed).toBe(0)
		expect(whole).toBeGreaterThanOrEqual(0.9 * STREAM_COUNT)
	})

	it('go on at their version if the store is away while the boxes come back', async () => {
		await fleet.start(['1', '2', '1', '2'], BOX_COUNT)
		const { mixed, whole } = await restart(async () => {
			await sleep(STORED_AFTER_MS)
			fleet.isStoreAway = true
			setTimeout(() => (fleet.isStoreAway = false), 1_000)
		})
		expect(mixed).toBe(0)
		expect(whole).toBeGreaterThanOrEqual(0.9 * STREAM_COUNT)
	})

	it('are refused if their version has gone, after the store came back from a copy too', async () => {
		await fleet.start(['1', '1'], BOX_COUNT)
		await sleep(500)
		const backup = fleet.backUpStore()
		const outcome = await restart(async () => {
			await fleet.addTarget('new', '2')
			await sleep(300)
			fleet.removeTarget('t0')
			fleet.removeTarget('t1')
			await sleep(300)
			fleet.restoreStore(backup)
		})
		expect(outcome).toEqual({ mixed: 0, whole: 0, refused: STREAM_COUNT })
	})

	it('go on if there was one version only, after the store came back from a copy too', async () => {
		await fleet.start(['1', '1'], BOX_COUNT)
		await sleep(500)
		const backup = fleet.backUpStore()
		const { mixed, whole } = await restart(async () => {
			await sleep(300)
			fleet.restoreStore(backup)
		}, 2)
		expect({ mixed, whole }).toEqual({ mixed: 0, whole: STREAM_COUNT })
	})

	it('are not mixed if the store has lost what the boxes wrote', async () => {
		await fleet.start(['1', '1'], BOX_COUNT)
		const outcome = await restart(async () => {
			await fleet.addTarget('new', '2')
			await sleep(300)
			fleet.removeTarget('t0')
			fleet.removeTarget('t1')
			await sleep(300)
			fleet.removeStored('box-versions')
		})
		expect(outcome.mixed).toBe(0)
	})
})

function outcomeOf(streams: readonly ReceivedStream[]): Outcome {
	return {
		mixed: streams.filter(({ versions }) => versions.size > 1).length,
		whole: streams.filter(({ isWhole }) => isWhole).length,
		refused: streams.filter(({ status }) => status === 503).length,
	}
}
