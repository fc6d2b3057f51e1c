import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { DEMO_ACCOUNTS, type DemoAccount } from './demoBundle.js'
import { DemoFleet } from './DemoFleet.js'
import {
	fetchBudgets,
	chargeOf,
	chatBody,
	waitUntil,
	isComplete,
	fetchRunCounts,
	sendRequest,
	setTargetFaults,
} from './fleetTestHelpers.js'

/** Tests of invalid requests, faulty targets and disconnecting callers with real processes. */

const fleet = new DemoFleet({ zones: 1 })
const field = DEMO_ACCOUNTS[2] as DemoAccount
const NON_REPEATABLE_HEADERS = { 'stallwing-repeat': 'never', 'stallwing-priority': 'urgent' }

beforeAll(() => fleet.start())
afterAll(() => fleet.stop())

function routerUrl(i = 0): string {
	return fleet.routers[i]?.url ?? ''
}

describe('request handling', () => {
	it.each([
		['malformed JSON', { body: '{"model":' }, 400, 'malformed-request'],
		['wrong types', { body: '{"model":7,"messages":"x"}' }, 400, 'malformed-request'],
		['a body over the limit', { body: 'x'.repeat(1_100_000) }, 413, 'body-too-large'],
		[
			'an unknown model',
			{ body: chatBody('x').replace('heat-small', 'none') },
			404,
			'unknown-model',
		],
		['an unknown service', { path: '/services/none/x' }, 404, 'unknown-service'],
		['an unknown budget', { headers: { 'stallwing-budget': 'none' } }, 404, 'unknown-budget'],
		['a bad bearer key', { headers: { authorization: 'Bearer no' } }, 401, 'bad-key'],
		['a bad priority', { headers: { 'stallwing-priority': 'now' } }, 400, 'malformed-request'],
	])('refuses %s as not run', async (_, call, status, type) => {
		const before = (await fetchRunCounts(fleet)).size
		const reply = await sendRequest(routerUrl(), call)
		expect(reply.status).toBe(status)
		expect(reply.runState).toBe('no')
		expect((JSON.parse(reply.text) as { error: { type: string } }).error.type).toBe(type)
		expect((await fetchRunCounts(fleet)).size).toBe(before)
	})

	it('refuses an idempotency key that was used with another body', async () => {
		const headers = { 'idempotency-key': 'reused-1' }
		expect((await sendRequest(routerUrl(0), { headers, body: chatBody('one') })).status).toBe(200)
		const second = await sendRequest(routerUrl(1), { headers, body: chatBody('two') })
		expect(second.status).toBe(409)
	})

	it('gives concurrent and later calls with one key the same answer, run and billed once', async () => {
		const headers = { 'idempotency-key': 'twice-1', ...NON_REPEATABLE_HEADERS }
		const before = (await fetchBudgets(fleet)).get('field')?.billed ?? 0
		const calls = [0, 1, 0, 1].map((i) => sendRequest(routerUrl(i), { headers, account: field }))
		const replies = await Promise.all(calls)
		const laterReply = await sendRequest(routerUrl(1), { headers, account: field })
		for (const reply of [...replies, laterReply]) {
			expect(reply.status).toBe(200)
			expect(reply.text).toBe(laterReply.text)
		}
		expect((await fetchRunCounts(fleet)).get(laterReply.requestId)).toBe(1)
		const after = (await fetchBudgets(fleet)).get('field')?.billed ?? 0
		expect(after - before).toBe(chargeOf(laterReply))
	})

	it('cancels the run of a caller that disconnects, and bills the tokens produced', async () => {
		const abort = new AbortController()
		const before = (await fetchBudgets(fleet)).get('field')?.billed ?? 0
		const reply = await sendRequest(routerUrl(), {
			account: field,
			signal: abort.signal,
			onText: (text) => {
				if (text.split('data:').length > 8) abort.abort()
			},
		})
		expect(isComplete(reply)).toBe(false)
		await waitUntil('the reservation is settled', async () => {
			return (await fetchBudgets(fleet)).get('field')?.reserved === 0
		})
		const billed = ((await fetchBudgets(fleet)).get('field')?.billed ?? 0) - before
		expect(billed).toBeGreaterThan(0)
		expect(billed).toBeLessThan(14 + 3 * 47)
	})

	it('does not mark a broken stream as complete, and answers the retry completely', async () => {
		await setTargetFaults(fleet, 'engine', { closeEarly: 1 })
		const headers = { 'idempotency-key': 'broken-1' }
		const first = await sendRequest(routerUrl(), { headers })
		expect(first.wasReset || isComplete(first)).toBe(true)
		await setTargetFaults(fleet, 'engine', { closeEarly: 0 })
		const second = await sendRequest(routerUrl(), { headers })
		expect(second.status).toBe(200)
		expect(isComplete(second)).toBe(true)
	})

	it('does not forward malformed output of a target', async () => {
		await setTargetFaults(fleet, 'engine', { rubbish: 1 })
		const reply = await sendRequest(routerUrl())
		await setTargetFaults(fleet, 'engine', { rubbish: 0 })
		expect(reply.text).not.toContain('rubbish')
		expect([200, 502]).toContain(reply.status)
	})

	it('reports an interrupted non-repeatable request as unknown', async () => {
		await setTargetFaults(fleet, 'service', { closeEarly: 1 })
		const headers = { 'idempotency-key': 'ack-broken', ...NON_REPEATABLE_HEADERS }
		const first = await sendRequest(routerUrl(), {
			path: '/services/meters/ack',
			body: '{}',
			headers,
		})
		expect([first.status, first.runState]).toEqual([502, 'unknown'])
		const second = await sendRequest(routerUrl(1), {
			path: '/services/meters/ack',
			body: '{}',
			headers,
		})
		expect([second.status, second.runState]).toEqual([502, 'unknown'])
		expect((await fetchRunCounts(fleet)).get(first.requestId)).toBe(1)
	})

	it('retries at another target when a target refuses a request', async () => {
		await setTargetFaults(fleet, 'engine', { refuse: 1 })
		const reply = await sendRequest(routerUrl())
		await setTargetFaults(fleet, 'engine', { refuse: 0 })
		expect(reply.status).toBe(200)
	})

	it('serves health, readiness and metrics', async () => {
		expect((await fetch(`${routerUrl()}/healthz`)).status).toBe(200)
		expect((await fetch(`${routerUrl()}/readyz`)).status).toBe(200)
		const text = await (await fetch(`${routerUrl()}/metrics`)).text()
		expect(text).toContain('stallwing_first_byte_ms{quantile="0.99"}')
		expect(text).toContain('stallwing_peer_bytes_sent_total{kind=')
	})

	it('completes open streams on SIGTERM and exits with 0', async () => {
		const router = fleet.routers[1]
		if (!router) throw new Error('no second router')
		// Sends SIGTERM after the first bytes arrive. A timer would depend on the speed of the machine.
		const reply = await sendRequest(router.url, {
			onText: () => router.process.child.kill('SIGTERM'),
		})
		expect(isComplete(reply)).toBe(true)
		expect(await router.process.exited).toBe(0)
	})
})
