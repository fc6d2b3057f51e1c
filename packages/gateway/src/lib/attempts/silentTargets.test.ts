import { afterEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestBox, type CallerResponse } from '../testBox.js'
import { isWholeStream, TestStreamTargets } from './testStreamTargets.js'

// Guards against answers that end although their target goes on: the box gave up a silent target before it was certain
// that another one takes over.

const REQUEST_COUNT = 12
const SILENCE_MS = 1_400
/** Time into a stream, in ms. */
const MIDWAY_MS = 200
const NO_RETRIES = { ratio: 0, slack: 0, windowMs: 10_000 }

describe('answers of targets that are silent for some time', { timeout: 30_000 }, () => {
	let box: TestBox
	let targets: TestStreamTargets
	afterEach(() => box.stop())

	async function start(
		names: readonly string[],
		options: ConstructorParameters<typeof TestBox>[3] = {},
	): Promise<void> {
		box = new TestBox('box', undefined, 0, options)
		targets = new TestStreamTargets(box)
		await box.start()
		box.configure()
		await targets.add(...names)
		await box.waitUntilReady()
	}

	function send(path: string): Promise<CallerResponse>[] {
		return Array.from({ length: REQUEST_COUNT }, (_, i) =>
			box.sendRequest(path, { id: `r${i}`, headers: { 'deadline-ms': '8000' } }),
		)
	}

	it('are whole if all targets are silent and no retry is left', async () => {
		await start(['a', 'b', 'c'], { retryLimits: NO_RETRIES })
		const responses = send('/resume/x')
		await sleep(MIDWAY_MS)
		targets.silence(SILENCE_MS, 'a', 'b', 'c')
		const whole = (await Promise.all(responses)).filter(isWholeStream)
		expect(whole).toHaveLength(REQUEST_COUNT)
	})

	it('are complete if the requests have no events and no retry is left', async () => {
		await start(['a', 'b', 'c'], { retryLimits: NO_RETRIES })
		targets.silence(SILENCE_MS, 'a', 'b', 'c')
		const responses = await Promise.all(send('/again/x'))
		expect(responses.map(({ status }) => status)).toEqual(responses.map(() => 200))
	})
})
