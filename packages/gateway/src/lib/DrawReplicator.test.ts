import { brandId, type AccountName, type BoxName } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { DrawReplicator, type ReplicatedDraws } from './DrawReplicator.js'
import { sleep } from './sleep.js'

const DRAWS: ReplicatedDraws = {
	box: brandId<BoxName>('box-1'),
	revision: { era: 1, number: 7 },
	raised: { [brandId<AccountName>('acme')]: 10 },
}

/** Time in which each box answers, in ms; a negative one never does, and is given up after 160 ms. */
type ResponseTimes = Readonly<Record<string, number>>

function createReplicator(answers: ResponseTimes): { telling: DrawReplicator; told: string[] } {
	const told: string[] = []
	const options = {
		others: () => Object.keys(answers),
		tell: async (address: string) => {
			told.push(address)
			const ms = answers[address] ?? -1
			await sleep(ms < 0 ? 160 : ms)
			return ms >= 0
		},
		sleep,
	}
	return { telling: new DrawReplicator(options), told }
}

async function replicateDraws(
	answers: ResponseTimes,
): Promise<{ known: boolean; ms: number; told: number }> {
	const { telling: one, told } = createReplicator(answers)
	const began = Date.now()
	const result = one.replicate(DRAWS).then((known) => ({ known, ms: Date.now() - began }))
	await vi.advanceTimersByTimeAsync(1_000)
	return { ...(await result), told: told.length }
}

describe('DrawTelling', () => {
	beforeEach(() => void vi.useFakeTimers())
	afterEach(() => void vi.useRealTimers())

	it('is done as soon as two others know', async () => {
		expect(await replicateDraws({ a: 3, b: 30, c: 5, d: 1 })).toEqual({
			known: true,
			ms: 5,
			told: 3,
		})
	})

	it('goes on to others where those that were told first are away', async () => {
		expect(await replicateDraws({ a: -1, b: -1, c: 2, d: 3, e: 4 })).toEqual({
			known: true,
			ms: 43,
			told: 5,
		})
	})

	it('makes do with one where no other answers, and with none where there is none', async () => {
		expect((await replicateDraws({ a: -1, b: 2 })).known).toBe(true)
		expect((await replicateDraws({})).known).toBe(true)
	})

	it('says that nobody knows where nobody answers', async () => {
		expect(await replicateDraws({ a: -1, b: -1, c: -1, d: -1 })).toEqual({
			known: false,
			ms: 80,
			told: 4,
		})
	})
})
