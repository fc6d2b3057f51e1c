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
/** Longer than any caller of the tests waits, in ms. */
const HANG_MS = 60_000
/** Time within which callers whose target hangs have their whole answer, in ms. */
const MAX_HANG_MS = 4_000
/** Time for which two targets may run a request, in ms. */
const MAX_OVERLAP_MS = 400
/** Time within which the box knows a change of the target list, in ms. */
const LIST_CHANGE_MS = 300
const NO_RETRIES = { ratio: 0, slack: 0, windowMs: 10_000 }

function isAnswered({ status, isComplete }: CallerResponse): boolean {
	return status === 200 && isComplete
}

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

	/** Adds targets after the requests have been sent to those that were there before. */
	async function addLater(...names: readonly string[]): Promise<void> {
		await targets.add(...names)
		await sleep(LIST_CHANGE_MS)
	}

	function entryOf(name: string): object {
		return JSON.parse(box.store.getText(`targets/${name}`) ?? '{}') as object
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

	it('are whole if no other target accepts the requests', async () => {
		await start(['a'])
		const responses = send('/resume/x')
		await sleep(MIDWAY_MS)
		await addLater('b', 'c')
		box.store.put('targets/b', JSON.stringify({ ...entryOf('b'), leaving: true }))
		box.store.remove('targets/c')
		await sleep(LIST_CHANGE_MS)
		targets.silence(SILENCE_MS, 'a')
		const whole = (await Promise.all(responses)).filter(isWholeStream)
		expect(whole).toHaveLength(REQUEST_COUNT)
	})

	it('are whole if the other targets reject the requests', async () => {
		await start(['a'])
		const responses = send('/resume/x')
		await sleep(MIDWAY_MS)
		targets.reject('b', 'c')
		await addLater('b', 'c')
		targets.silence(SILENCE_MS, 'a')
		const whole = (await Promise.all(responses)).filter(isWholeStream)
		expect(whole).toHaveLength(REQUEST_COUNT)
	})

	it('are whole if all targets are silent and retries are left', async () => {
		await start(['a', 'b', 'c'])
		const responses = send('/resume/x')
		await sleep(MIDWAY_MS)
		targets.silence(SILENCE_MS, 'a', 'b', 'c')
		const whole = (await Promise.all(responses)).filter(isWholeStream)
		expect(whole).toHaveLength(REQUEST_COUNT)
	})

	it.each(['/resume/x', '/again/x'])(
		'come from another target if theirs hangs: %s',
		async (path) => {
			await start(['a'])
			const startedAt = performance.now()
			if (path === '/again/x') targets.silence(HANG_MS, 'a')
			const responses = send(path)
			await sleep(MIDWAY_MS)
			await addLater('b')
			targets.silence(HANG_MS, 'a')
			const received = await Promise.all(responses)
			expect(received.filter(path === '/again/x' ? isAnswered : isWholeStream)).toHaveLength(
				REQUEST_COUNT,
			)
			expect(performance.now() - startedAt).toBeLessThan(MAX_HANG_MS)
		},
	)

	it('are run by two targets for a short time only', async () => {
		await start(['a'])
		const responses = send('/resume/x')
		await sleep(MIDWAY_MS)
		await addLater('b')
		targets.silence(HANG_MS, 'a')
		await sleep(MIDWAY_MS)
		// The second target begins later than the silent run may go on beside it.
		targets.silence(SILENCE_MS, 'b')
		const whole = (await Promise.all(responses)).filter(isWholeStream)
		expect(whole).toHaveLength(REQUEST_COUNT)
		expect(targets.runs).toHaveLength(2 * REQUEST_COUNT)
		expect(targets.longestOverlapMs).toBeLessThan(MAX_OVERLAP_MS)
	})

	it('stay at their target if it goes on before the other one has begun', async () => {
		await start(['a'])
		const responses = send('/resume/x')
		await sleep(MIDWAY_MS)
		await addLater('b')
		targets.silence(1_100, 'a')
		targets.silence(HANG_MS, 'b')
		const received = await Promise.all(responses)
		expect(received.filter(isWholeStream)).toHaveLength(REQUEST_COUNT)
		expect(received.filter(({ body }) => body.includes('data: b'))).toEqual([])
	})

	it.each(['/once/x', '/stream/x'])(
		'of requests that may run once are waited for: %s',
		async (path) => {
			await start(['a', 'b', 'c'])
			targets.silence(SILENCE_MS, 'a', 'b', 'c')
			const received = await Promise.all(send(path))
			expect(received.map(({ status }) => status)).toEqual(received.map(() => 200))
			expect(targets.runs).toHaveLength(REQUEST_COUNT)
		},
	)
})
