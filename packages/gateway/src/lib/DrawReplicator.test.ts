import { brandId, type AccountName, type BoxName } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { DrawReplicator, type ReplicatedDraws } from './DrawReplicator.js'
import { sleep } from './sleep.js'

const DRAWS: ReplicatedDraws = {
	box: brandId<BoxName>('box-1'),
	revision: { era: 1, number: 7 },
	raised: { [brandId<AccountName>('acme')]: 10 },
}

const ANSWER_TIMEOUT_MS = 160

/** Response time of each box, in ms. A box with a negative time never confirms; its call fails after 1.5 s. */
type ResponseTimes = Readonly<Record<string, number>>

function createReplicator(
	responseTimes: ResponseTimes,
	answerTimeoutMs: number,
): {
	replicator: DrawReplicator
	contacted: string[]
} {
	const contacted: string[] = []
	const options = {
		replicaAddresses: () => Object.keys(responseTimes),
		send: async (address: string) => {
			contacted.push(address)
			const ms = responseTimes[address] ?? -1
			await sleep(ms < 0 ? 1_500 : ms)
			return ms >= 0
		},
		answerTimeoutMs: () => answerTimeoutMs,
		sleep,
	}
	return { replicator: new DrawReplicator(options), contacted }
}

async function replicateDraws(
	responseTimes: ResponseTimes,
	answerTimeoutMs = ANSWER_TIMEOUT_MS,
): Promise<{ isReplicated: boolean; ms: number; contacted: number }> {
	const { replicator: underTest, contacted } = createReplicator(responseTimes, answerTimeoutMs)
	const startedAt = Date.now()
	const result = underTest
		.replicate(DRAWS)
		.then((isReplicated) => ({ isReplicated, ms: Date.now() - startedAt }))
	await vi.advanceTimersByTimeAsync(2_000)
	return { ...(await result), contacted: contacted.length }
}

describe('DrawReplicator', () => {
	beforeEach(() => void vi.useFakeTimers())
	afterEach(() => void vi.useRealTimers())

	it('resolves once two boxes have stored the draws', async () => {
		expect(await replicateDraws({ a: 3, b: 30, c: 5, d: 1 })).toEqual({
			isReplicated: true,
			ms: 5,
			contacted: 3,
		})
	})

	it('contacts further boxes if the first ones do not answer', async () => {
		expect(await replicateDraws({ a: -1, b: -1, c: 2, d: 3, e: 4 })).toEqual({
			isReplicated: true,
			ms: 43,
			contacted: 5,
		})
	})

	it('accepts one confirmation if no other box answers, and none if there is no other box', async () => {
		expect((await replicateDraws({ a: -1, b: 2 })).isReplicated).toBe(true)
		expect((await replicateDraws({})).isReplicated).toBe(true)
	})

	it('uses confirmations that are later than the wait for further boxes', async () => {
		const late = { a: 130, b: 140, c: 150, d: 135, e: -1 }
		expect(await replicateDraws(late)).toEqual({ isReplicated: true, ms: 130, contacted: 5 })
	})

	it('waits longer for the first confirmation if answers have been late', async () => {
		const late = { a: 700, b: 900, c: 800 }
		expect((await replicateDraws(late)).isReplicated).toBe(false)
		expect(await replicateDraws(late, 1_500)).toEqual({
			isReplicated: true,
			ms: 700,
			contacted: 3,
		})
	})

	it('resolves to false if no box answers', async () => {
		expect(await replicateDraws({ a: -1, b: -1, c: -1, d: -1 })).toEqual({
			isReplicated: false,
			ms: ANSWER_TIMEOUT_MS,
			contacted: 4,
		})
	})
})
