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

/** Tests of kills, pauses and outages with real processes. */

const fleet = new DemoFleet({ zones: 1, routersPerZone: 3, engineModel: { stepMs: 25 } })
const billing = DEMO_ACCOUNTS[1] as DemoAccount

beforeAll(() => fleet.start())
afterAll(() => fleet.stop())

function runningRouters(): FleetRouter[] {
	return fleet.routers.filter(({ process: { child } }) => {
		return child.exitCode === null && child.signalCode === null
	})
}

/** Returns the router that chose a target for the request, and so owns the run. */
async function findOwner(id: string): Promise<FleetRouter> {
	for (const router of runningRouters()) {
		const lines = (await (
			await fetch(`${router.adminUrl}/explain?request=${encodeURIComponent(id)}`)
		).json()) as { name: string }[]
		if (lines.some((line) => line.name === 'target-chosen')) return router
	}
	throw new Error(`no router owns ${id}`)
}

/** Sends a streamed request and calls `act` once the first events have arrived. */
async function actDuringStream(
	key: string,
	url: string,
	act: (id: string) => Promise<void>,
): Promise<Reply> {
	let action: Promise<void> | undefined
	const reply = await sendRequest(url, {
		account: billing,
		headers: { 'idempotency-key': key },
		onText: (text) => {
			if (text.split('data:').length > 3) action ??= act(`billing-clerks/${key}`)
		},
	})
	await action
	return reply
}

describe('failures of real processes', () => {
	it('completes the retry of a stream whose router was killed, and bills it once', async () => {
		const before = (await fetchBudgets(fleet)).get('billing')?.billed ?? 0
		let killedRouter: FleetRouter | undefined
		const first = await actDuringStream('killed-1', runningRouters()[0]?.url ?? '', async (id) => {
			killedRouter = await findOwner(id)
			killedRouter.process.child.kill('SIGKILL')
		})
		expect(isComplete(first)).toBe(false)
		const call = { account: billing, headers: { 'idempotency-key': 'killed-1' } }
		const reply = await sendUntilComplete(() => runningRouters().map((router) => router.url), call)
		expect(isComplete(reply)).toBe(true)
		const after = (await fetchBudgets(fleet)).get('billing')
		expect((after?.billed ?? 0) - before).toBe(chargeOf(reply))
		expect((await fetchRunCounts(fleet)).get(reply.requestId)).toBe(1)
		if (!killedRouter) throw new Error('no router was killed')
		await fleet.replaceRouter(killedRouter)
	})

	it('restarts a router that was paused until its removal from the membership view, and runs nothing twice', async () => {
		const before = (await fetchBudgets(fleet)).get('billing')?.billed ?? 0
		const pausedRouter = runningRouters()[0] as FleetRouter
		const incarnation = (await fetchStatus(pausedRouter)).incarnation
		const headers = { 'idempotency-key': 'paused-1', 'stallwing-repeat': 'never' }
		pausedRouter.process.child.kill('SIGSTOP')
		const others = runningRouters().filter((router) => router !== pausedRouter)
		const reply = await sendUntilComplete(() => others.map((router) => router.url), {
			account: billing,
			headers,
		})
		pausedRouter.process.child.kill('SIGCONT')
		await waitUntil('the paused box is ready as a new incarnation', async () => {
			const status = await fetchStatus(pausedRouter)
			return status.incarnation !== incarnation && status.ready === true
		})
		const second = await sendRequest(pausedRouter.url, { account: billing, headers })
		expect(second.text).toBe(reply.text)
		expect((await fetchRunCounts(fleet)).get(reply.requestId)).toBe(1)
		const after = (await fetchBudgets(fleet)).get('billing')?.billed ?? 0
		expect(after - before).toBe(chargeOf(reply))
	})

	it('runs requests on the allotment of the zone during a platform outage, and bills them afterwards', async () => {
		const before = (await fetchBudgets(fleet)).get('billing')?.billed ?? 0
		await setStandinFaults(fleet.platform.url, { outage: true })
		await waitUntil('the router detects the outage', async () => {
			return (await fetchStatus(runningRouters()[0] as FleetRouter)).platformUp === false
		})
		let charge = 0
		for (const router of runningRouters()) {
			const reply = await sendRequest(router.url, { account: billing })
			expect([reply.status, reply.text.slice(0, 80)]).toEqual([200, reply.text.slice(0, 80)])
			charge += chargeOf(reply)
		}
		await setStandinFaults(fleet.platform.url, { outage: false, loseAnswers: 3 })
		await waitUntil('the router reaches the platform again', async () => {
			return (await fetchStatus(runningRouters()[0] as FleetRouter)).platformUp === true
		})
		expect(((await fetchBudgets(fleet)).get('billing')?.billed ?? 0) - before).toBe(charge)
	})
})
