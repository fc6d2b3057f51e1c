import { writeFileSync } from 'node:fs'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { DemoFleet, type DemoBundle, type FleetRouter } from './DemoFleet.js'
import {
	fetchBudgets,
	waitUntil,
	isComplete,
	fetchRunCounts,
	sendRequest,
	sleep,
	fetchStatus,
	type Reply,
} from './fleetTestHelpers.js'

/** Configuration, leaving targets and rolling restarts on real processes. */

const fleet = new DemoFleet({ zones: 1 })

beforeAll(() => fleet.start())
afterAll(() => fleet.stop())

function raisePrepaid(bundle: DemoBundle, i: number): void {
	const budget = bundle.budgets[i]
	if (budget) budget.prepaid++
}

async function waitUntilInForce(version: number): Promise<number> {
	const startedAt = performance.now()
	for (;;) {
		const statuses = await Promise.all(fleet.routers.map(fetchStatus))
		if (statuses.every((status) => status.bundleVersion === version)) break
		await sleep(20)
	}
	return performance.now() - startedAt
}

describe('configuration', () => {
	it('of two racing operators one gets a conflict, and one version is in force', async () => {
		const one = await fleet.approveBundleVersion(2, (bundle) => raisePrepaid(bundle, 0))
		const two = await fleet.approveBundleVersion(2, (bundle) => raisePrepaid(bundle, 1))
		const results = await Promise.all([
			fleet.runAs('author', 'bundle', 'accept', one),
			fleet.runAs('approver', 'bundle', 'accept', two),
		])
		expect(results.map((result) => result.code).sort()).toEqual([0, 4])
		await waitUntilInForce(2)
	})

	it('refuses a bundle that its own author approves, and lists the faults of a bad one', async () => {
		const file = fleet.filePath('same.jsonc')
		writeFileSync(file, JSON.stringify({ ...(fleet.bundle as object), version: 3 }))
		const hash = (await fleet.runAs('author', 'bundle', 'propose', file)).out.trim()
		const own = await fleet.runAs('author', 'bundle', 'sign', hash)
		expect(own.code).toBe(3)
		expect(own.err).toContain('same-operator')
		const bad = fleet.filePath('bad.jsonc')
		writeFileSync(
			bad,
			'{ "version": 0,\n "zones": [],\n "targets": [], "accounts": [], "budgets": [] }',
		)
		const checked = await fleet.runAs('author', 'bundle', 'check', bad)
		expect(checked.code).toBe(3)
		expect(checked.err).toMatch(/bad.jsonc:1: version/)
		expect(checked.err).toMatch(/bad.jsonc:2: zones/)
	})

	it('gives a leaving target no new work once the version is in force', async () => {
		const engine = fleet.targets.find((target) => target.kind === 'engine')
		const hash = await fleet.approveBundleVersion(3, (bundle) => {
			const target = bundle.targets.find((row) => row.name === engine?.name)
			if (target) target.leaving = true
		})
		await fleet.runAs('author', 'bundle', 'accept', hash)
		await waitUntilInForce(3)
		const before = await countRequestsRunAt(engine?.url ?? '')
		for (let i = 0; i < 12; i++)
			expect((await sendRequest(fleet.routers[i % 2]?.url ?? '')).status).toBe(200)
		expect(await countRequestsRunAt(engine?.url ?? '')).toBe(before)
	})
})

describe('the list of the platform', () => {
	it('gives a target that it calls leaving no new work', async () => {
		const engine = fleet.targets.findLast((target) => target.kind === 'engine')
		const { name, zone, url } = engine ?? { name: '', zone: '', url: '' }
		const list = (leaving: boolean) =>
			fetch(`${fleet.platform.url}/standin/boxes`, {
				method: 'POST',
				body: JSON.stringify([{ name, zone, leaving }]),
			})
		const isLeaving = async (): Promise<boolean> => {
			const statuses = await Promise.all(fleet.routers.map(fetchStatus))
			return statuses.every((status) => {
				const targets = status.targets as { target: string; leaving: boolean }[]
				return targets.some((row) => row.target === name && row.leaving)
			})
		}
		await list(true)
		await waitUntil('every router knows', isLeaving)
		const before = await countRequestsRunAt(url)
		for (let i = 0; i < 6; i++) await sendRequest(fleet.routers[i % 2]?.url ?? '')
		expect(await countRequestsRunAt(url)).toBe(before)
		await list(false)
		await waitUntil('it is back', async () => !(await isLeaving()))
	})
})

async function countRequestsRunAt(url: string): Promise<number> {
	const runs = (await (await fetch(`${url}/standin/runs`)).json()) as Record<string, number>
	return Object.keys(runs).length
}

describe('a rolling restart under load', () => {
	it('cuts off nothing, loses nothing and bills each answer once', async () => {
		const before = await fetchDispatchBilled()
		let restarting = true
		const replies: Reply[] = []
		const load = (async () => {
			for (let i = 0; restarting; i++) {
				const ready = await findReadyRouters()
				const router = ready[i % Math.max(1, ready.length)]
				if (router) replies.push(await sendRequest(router.url))
				await sleep(20)
			}
		})()
		for (const old of [...fleet.routers]) {
			old.process.child.kill('SIGTERM')
			expect(await old.process.exited).toBe(0)
			await fleet.replaceRouter(old)
		}
		restarting = false
		await load
		for (const reply of replies) expect(reply.wasReset).toBe(false)
		const whole = replies.filter((reply) => reply.status === 200)
		for (const reply of whole) expect(isComplete(reply)).toBe(true)
		for (const reply of replies) if (reply.status !== 200) expect(reply.runState).toBe('no')
		const runs = await fetchRunCounts(fleet)
		for (const reply of whole) expect(runs.get(reply.requestId)).toBe(1)
		expect(whole.length).toBeGreaterThan(replies.length / 2)
		const charge = whole.reduce((sum, reply) => sum + chargeFromUsage(reply.text), 0)
		expect((await fetchDispatchBilled()) - before).toBe(charge)
	})
})

function chargeFromUsage(text: string): number {
	const match = /"prompt_tokens":(\d+),"completion_tokens":(\d+)/.exec(text)
	return Number(match?.[1]) + 3 * Number(match?.[2])
}

async function fetchDispatchBilled(): Promise<number> {
	return (await fetchBudgets(fleet)).get('dispatch')?.billed ?? 0
}

async function findReadyRouters(): Promise<FleetRouter[]> {
	const ready: FleetRouter[] = []
	for (const router of fleet.routers) {
		try {
			if ((await fetch(`${router.url}/readyz`)).ok) ready.push(router)
		} catch {
			continue
		}
	}
	return ready
}
