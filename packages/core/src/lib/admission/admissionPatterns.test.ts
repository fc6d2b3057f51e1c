import { describe, expect, it } from 'vitest'
import {
	runAdmissionModel,
	type ModelOptions,
	type ModelPolicy,
	type ModelStream,
	type StreamResult,
} from './admissionModel.js'

/** Period of the bursts. By then the boxes know the usual demand. */
const BURST_MS = [28_000, 34_000] as const
const USUAL_ACCOUNTS = ['a1', 'a2', 'a3', 'a4', 'a5']
/** Four targets with six places and 40 ms of work serve 600 requests a second; usually 440 arrive. */
const SERVICE = { boxes: 12, targets: 4, slots: 6, countedMs: BURST_MS, durationMs: 35_000 }

type Results = ReadonlyMap<string, StreamResult>

interface Burst {
	readonly urgent?: number
	readonly leastUrgent?: number
	readonly account?: number
	/** Box that the callers of the account use; undefined if they are spread over all boxes. */
	readonly accountBox?: number
	readonly retries?: number
}

function stream(name: string, rank: number, usual: number, factor: number): ModelStream {
	const [from, to] = BURST_MS
	const perSecond = (at: number): number => (at >= from && at < to ? factor * usual : usual)
	return { name, account: name, rank, perSecond, workMs: 40, goalMs: 250 }
}

function streams(burst: Burst): ModelStream[] {
	const retries = burst.retries ?? 0
	const box = burst.accountBox === undefined ? {} : { box: burst.accountBox }
	return [
		stream('urgent', 0, 100, burst.urgent ?? 1),
		{ ...stream('least urgent', 2, 100, burst.leastUrgent ?? 1), retries },
		{ ...stream('a0', 1, 40, burst.account ?? 1), retries, ...box },
		...USUAL_ACCOUNTS.map((name) => stream(name, 1, 40, 1)),
	]
}

function run(policy: ModelPolicy, burst: Burst, changes: Partial<ModelOptions> = {}): Results {
	return runAdmissionModel({ ...SERVICE, policy, streams: streams(burst), ...changes })
}

/** Fraction of the useful answers of a stream that a run has less than another one on the same arrivals. */
function lossOf(name: string, results: Results, before: Results): number {
	return 1 - (results.get(name)?.useful ?? 0) / (before.get(name)?.useful ?? 1)
}

function servedFraction(results: Results, names: Iterable<string> = results.keys()): number {
	let requests = 0
	let useful = 0
	for (const name of names) {
		requests += results.get(name)?.requests ?? 0
		useful += results.get(name)?.useful ?? 0
	}
	return useful / requests
}

const PATTERNS: readonly (readonly [name: string, burst: Burst, changes: Partial<ModelOptions>])[] =
	[
		['the least urgent requests at 2.5 times their usual rate', { leastUrgent: 2.5 }, {}],
		['one account at three times its usual rate', { account: 3 }, {}],
		['one account at eight times its usual rate', { account: 8 }, {}],
		['one account at eight times its usual rate at one box', { account: 8, accountBox: 0 }, {}],
		['callers that retry at once three times', { account: 8, retries: 3 }, {}],
		[
			'all boxes cut off from each other for 8 s',
			{ account: 8 },
			{ areConnected: (at) => at < 27_000 || at >= 35_000 },
		],
		['reports that are 0.6 s old', { account: 8 }, { reportAgeMs: 600 }],
		['three boxes', { account: 8, leastUrgent: 2.5 }, { boxes: 3 }],
	]

describe('rank and fair share', () => {
	it.each(PATTERNS)(
		'protects urgent requests and accounts at their usual rate: %s',
		(_, burst, changes) => {
			for (const seed of [1, 2]) {
				const before = run('rank-and-fair-share', {}, { ...changes, seed })
				const during = run('rank-and-fair-share', burst, { ...changes, seed })
				expect(lossOf('urgent', during, before)).toBeLessThan(0.03)
				const losses = USUAL_ACCOUNTS.map((account) => lossOf(account, during, before))
				expect(Math.max(...losses)).toBeLessThan(0.05)
			}
		},
		30_000,
	)

	it('protects urgent requests and accounts at their usual rate: 75 and 300 boxes', () => {
		const burst = { account: 8, leastUrgent: 2.5 }
		for (const changes of [{ boxes: 75, seed: 1 }, { boxes: 75, seed: 2 }, { boxes: 300 }]) {
			const before = run('rank-and-fair-share', {}, changes)
			const during = run('rank-and-fair-share', burst, changes)
			expect(lossOf('urgent', during, before)).toBeLessThan(0.03)
			const losses = USUAL_ACCOUNTS.map((account) => lossOf(account, during, before))
			expect(Math.max(...losses)).toBeLessThan(0.05)
		}
	}, 120_000)

	it('serves each route at least a quarter as often as all at twice the capacity', () => {
		const results = run('rank-and-fair-share', { urgent: 2.5, leastUrgent: 2.5, account: 12 })
		const overall = servedFraction(results)
		expect(overall).toBeLessThan(0.65)
		for (const name of results.keys())
			expect(servedFraction(results, [name])).toBeGreaterThan(0.25 * overall)
	})

	it('keeps over 95% of its peak of useful answers at twice the capacity', () => {
		const usefulAt = (load: number): number => {
			const capacity = 600
			const perSecond = (): number => (load * capacity) / 8
			const all = streams({}).map((usual) => ({ ...usual, perSecond }))
			const results = run('rank-and-fair-share', {}, { streams: all })
			return [...results.values()].reduce((sum, { useful }) => sum + useful, 0)
		}
		const peak = Math.max(...[0.8, 0.9, 1, 1.1, 1.3, 1.6].map(usefulAt))
		expect(usefulAt(2)).toBeGreaterThan(0.95 * peak)
	})

	it('protects urgent requests while one of three targets hangs', () => {
		const isHung = (target: number, at: number): boolean =>
			target === 0 && at >= BURST_MS[0] && at < BURST_MS[1]
		const before = run('rank-and-fair-share', {}, { targets: 3 })
		const during = run('rank-and-fair-share', {}, { targets: 3, isHung })
		expect(lossOf('urgent', during, before)).toBeLessThan(0.03)
	})

	it('holds nothing after demand has fallen', () => {
		const low = (at: number): number => (at < 25_000 ? 150 : 1)
		const all = streams({}).map((usual) => ({ ...usual, perSecond: low }))
		const results = run('rank-and-fair-share', {}, { streams: all })
		expect(servedFraction(results)).toBe(1)
	})
})

describe('the other policies', () => {
	it('as today: nothing is answered in time once the queues of the targets are full', () => {
		const full = { boxes: 4, targets: 4, slots: 4 }
		const all = streams({}).map((usual) => ({
			...usual,
			perSecond: () => (2.4 * 320) / 8,
			workMs: 50,
		}))
		const today = run('today', {}, { ...full, streams: all })
		const fair = run('rank-and-fair-share', {}, { ...full, streams: all })
		expect(servedFraction(today)).toBeLessThan(0.02)
		expect(servedFraction(fair)).toBeGreaterThan(0.35)
		expect(servedFraction(fair, ['urgent'])).toBeGreaterThan(0.9)
	})

	it('rank only: accounts at their usual rate lose more to one that sends more', () => {
		const lossUnder = (policy: ModelPolicy): number => {
			const before = servedFraction(run(policy, {}), USUAL_ACCOUNTS)
			return 1 - servedFraction(run(policy, { account: 16 }), USUAL_ACCOUNTS) / before
		}
		expect(lossUnder('rank-only')).toBeGreaterThan(0.2)
		expect(lossUnder('rank-and-fair-share')).toBeLessThan(0.05)
	})
})
