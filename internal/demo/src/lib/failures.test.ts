import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { DEMO_ACCOUNTS, type DemoAccount } from './demoBundle.js'
import { DemoFleet, type FleetRouter } from './DemoFleet.js'
import {
	budgets,
	chargeOf,
	eventually,
	isWhole,
	runsOf,
	send,
	sendUntilWhole,
	setFaults,
	statusOf,
	type Reply,
} from './testFleet.js'

/** Kills, pauses and outages on real processes. */

const fleet = new DemoFleet({ zones: 1, routersPerZone: 3, engineModel: { stepMs: 25 } })
const billing = DEMO_ACCOUNTS[1] as DemoAccount

beforeAll(() => fleet.start())
afterAll(() => fleet.stop())

function running(): FleetRouter[] {
	return fleet.routers.filter(({ process: { child } }) => {
		return child.exitCode === null && child.signalCode === null
	})
}

/** Sends until the box that owns the key is known: it is the one that has the run. */
async function ownerOf(id: string): Promise<FleetRouter> {
	for (const router of running()) {
		const lines = (await (
			await fetch(`${router.admin}/explain?request=${encodeURIComponent(id)}`)
		).json()) as { name: string }[]
		if (lines.some((line) => line.name === 'target-chosen')) return router
	}
	throw new Error(`nobody owns ${id}`)
}

/** Starts a stream and does something once some of it has come. */
async function during(
	key: string,
	url: string,
	act: (id: string) => Promise<void>,
): Promise<Reply> {
	let acted: Promise<void> | undefined
	const reply = await send(url, {
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
		const before = (await budgets(fleet)).get('billing')?.billed ?? 0
		let victim: FleetRouter | undefined
		const first = await during('killed-1', running()[0]?.url ?? '', async (id) => {
			victim = await ownerOf(id)
			victim.process.child.kill('SIGKILL')
		})
		expect(isWhole(first)).toBe(false)
		const call = { account: billing, headers: { 'idempotency-key': 'killed-1' } }
		const reply = await sendUntilWhole(() => running().map((router) => router.url), call)
		expect(isWhole(reply)).toBe(true)
		const after = (await budgets(fleet)).get('billing')
		expect((after?.billed ?? 0) - before).toBe(chargeOf(reply))
		expect((await runsOf(fleet)).get(reply.id)).toBe(1)
		if (!victim) throw new Error('no router was killed')
		await fleet.replaceRouter(victim)
	})

	it('a router paused past its place in the view: starts anew, nothing ran twice', async () => {
		const before = (await budgets(fleet)).get('billing')?.billed ?? 0
		const victim = running()[0] as FleetRouter
		const incarnation = (await statusOf(victim)).incarnation
		const headers = { 'idempotency-key': 'paused-1', 'stallwing-repeat': 'never' }
		victim.process.child.kill('SIGSTOP')
		const others = running().filter((router) => router !== victim)
		const reply = await sendUntilWhole(() => others.map((router) => router.url), {
			account: billing,
			headers,
		})
		victim.process.child.kill('SIGCONT')
		await eventually('the paused box is a new incarnation and ready', async () => {
			const status = await statusOf(victim)
			return status.incarnation !== incarnation && status.ready === true
		})
		const second = await send(victim.url, { account: billing, headers })
		expect(second.text).toBe(reply.text)
		expect((await runsOf(fleet)).get(reply.id)).toBe(1)
		const after = (await budgets(fleet)).get('billing')?.billed ?? 0
		expect(after - before).toBe(chargeOf(reply))
	})

	it('the platform down: requests run on the money in the zone, then all is settled', async () => {
		const before = (await budgets(fleet)).get('billing')?.billed ?? 0
		await setFaults(fleet.platform.url, { outage: true })
		await eventually('the outage is noticed', async () => {
			return (await statusOf(running()[0] as FleetRouter)).platformUp === false
		})
		let charge = 0
		for (const router of running()) {
			const reply = await send(router.url, { account: billing })
			expect([reply.status, reply.text.slice(0, 80)]).toEqual([200, reply.text.slice(0, 80)])
			charge += chargeOf(reply)
		}
		await setFaults(fleet.platform.url, { outage: false, loseAnswers: 3 })
		await eventually('the platform is back', async () => {
			return (await statusOf(running()[0] as FleetRouter)).platformUp === true
		})
		expect(((await budgets(fleet)).get('billing')?.billed ?? 0) - before).toBe(charge)
	})
})
