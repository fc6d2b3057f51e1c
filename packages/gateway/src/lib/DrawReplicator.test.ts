import { brandId, type AccountName, type BoxName } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { DrawReplicator, type ReplicatedDraws } from './DrawReplicator.js'
import { sleep } from './sleep.js'

const DRAWS: ReplicatedDraws = {
	box: brandId<BoxName>('box-1'),
	revision: { era: 1, number: 7 },
	raised: { [brandId<AccountName>('acme')]: 10 },
}

/** Response time of each box, in ms. A box with a negative time never confirms; its call fails after 160 ms. */
type ResponseTimes = Readonly<Record<string, number>>

function createReplicator(responseTimes: ResponseTimes): {
	replicator: DrawReplicator
	contacted: string[]
} {
	const contacted: string[] = []
	const options = {
		replicaAddresses: () => Object.keys(responseTimes),
		send: async (address: string) => {
			contacted.push(address)
			const ms = responseTimes[address] ?? -1
			await sleep(ms < 0 ? 160 : ms)
			return ms >= 0
		},
		sleep,
	}
	return { replicator: new DrawReplicator(options), contacted }
}

async function replicateDraws(
	responseTimes: ResponseTimes,
): Promise<{ isReplicated: boolean; ms: number; contacted: number }> {
	const { replicator: underTest, contacted } = createReplicator(responseTimes)
	const startedAt = Date.now()
	const result = underTest
		.replicate(DRAWS)
		.then((isReplicated) => ({ isReplicated, ms: Date.now() - startedAt }))
	await vi.advanceTimersByTimeAsync(1_000)
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

	it('resolves to false if no box answers', async () => {
		expect(await replicateDraws({ a: -1, b: -1, c: -1, d: -1 })).toEqual({
			isReplicated: false,
			ms: 80,
			contacted: 4,
		})
	})
})
