import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { DEMO_ACCOUNTS, type DemoAccount } from './demoBundle.js'
import { DemoFleet, type FleetRouter } from './DemoFleet.js'
import {
	fetchBudgets,
	chargeOf,
	waitUntil,
	isComplete,
	fetchRunCounts,
	sendRequest,
	sendUntilComplete,
	setStandinFaults,
	fetchStatus,
	type Reply,
} from './fleetTestHelpers.js'

/** Kills, pauses and outages on real processes. */

const fleet = new DemoFleet({ zones: 1, routersPerZone: 3, engineModel: { stepMs: 25 } })
const billing = DEMO_ACCOUNTS[1] as DemoAccount

beforeAll(() => fleet.start())
afterAll(() => fleet.stop())

function runningRouters(): FleetRouter[] {
	return fleet.routers.filter(({ process: { child } }) => {
		return child.exitCode === null && child.signalCode === null
	})
}

/** Sends until the box that owns the key is known: it is the one that has the run. */
async function findOwner(id: string): Promise<FleetRouter> {
	for (const router of runningRouters()) {
		const lines = (await (
			await fetch(`${router.adminUrl}/explain?request=${encodeURIComponent(id)}`)
		).json()) as { name: string }[]
		if (lines.some((line) => line.name === 'target-chosen')) return router
	}
	throw new Error(`nobody owns ${id}`)
}

/** Starts a stream and does something once some of it has come. */
async function actDuringStream(
	key: string,
	url: string,
	act: (id: string) => Promise<void>,
): Promise<Reply> {
	let acted: Promise<void> | undefined
	const reply = await sendRequest(url, {
		account: billing,
		headers: { 'idempotency-key': key },
		onText: (text) => {
			if (text.split('data:').length > 3) acted ??= act(`billing-clerks/${key}`)
		},
	})
	await acted
	return reply
}

describe('failures of real processes', () => {
	it('a router killed in the middle of a stream: the caller comes back, billed once', async () => {
		const before = (await fetchBudgets(fleet)).get('billing')?.billed ?? 0
		let victim: FleetRouter | undefined
		const first = await actDuringStream('killed-1', runningRouters()[0]?.url ?? '', async (id) => {
			victim = await findOwner(id)
			victim.process.child.kill('SIGKILL')
		})
		expect(isComplete(first)).toBe(false)
		const call = { account: billing, headers: { 'idempotency-key': 'killed-1' } }
		const reply = await sendUntilComplete(() => runningRouters().map((router) => router.url), call)
		expect(isComplete(reply)).toBe(true)
		const after = (await fetchBudgets(fleet)).get('billing')
		expect((after?.billed ?? 0) - before).toBe(chargeOf(reply))
		expect((await fetchRunCounts(fleet)).get(reply.requestId)).toBe(1)
		if (!victim) throw new Error('no router was killed')
		await fleet.replaceRouter(victim)
	})

	it('a router paused past its place in the view: starts anew, nothing ran twice', async () => {
		const before = (await fetchBudgets(fleet)).get('billing')?.billed ?? 0
		const victim = runningRouters()[0] as FleetRouter
		const incarnation = (await fetchStatus(victim)).incarnation
		const headers = { 'idempotency-key': 'paused-1', 'stallwing-repeat': 'never' }
		victim.process.child.kill('SIGSTOP')
		const others = runningRouters().filter((router) => router !== victim)
		const reply = await sendUntilComplete(() => others.map((router) => router.url), {
			account: billing,
			headers,
		})
		victim.process.child.kill('SIGCONT')
		await waitUntil('the paused box is a new incarnation and ready', async () => {
			const status = await fetchStatus(victim)
			return status.incarnation !== incarnation && status.ready === true
		})
		const second = await sendRequest(victim.url, { account: billing, headers })
		expect(second.text).toBe(reply.text)
		expect((await fetchRunCounts(fleet)).get(reply.requestId)).toBe(1)
		const after = (await fetchBudgets(fleet)).get('billing')?.billed ?? 0
		expect(after - before).toBe(chargeOf(reply))
	})

	it('the platform down: requests run on the money in the zone, then all is settled', async () => {
		const before = (await fetchBudgets(fleet)).get('billing')?.billed ?? 0
		await setStandinFaults(fleet.platform.url, { outage: true })
		await waitUntil('the outage is noticed', async () => {
			return (await fetchStatus(runningRouters()[0] as FleetRouter)).platformUp === false
		})
		let charge = 0
		for (const router of runningRouters()) {
			const reply = await sendRequest(router.url, { account: billing })
			expect([reply.status, reply.text.slice(0, 80)]).toEqual([200, reply.text.slice(0, 80)])
			charge += chargeOf(reply)
		}
		await setStandinFaults(fleet.platform.url, { outage: false, loseAnswers: 3 })
		await waitUntil('the platform is back', async () => {
			return (await fetchStatus(runningRouters()[0] as FleetRouter)).platformUp === true
		})
		expect(((await fetchBudgets(fleet)).get('billing')?.billed ?? 0) - before).toBe(charge)
	})
})
