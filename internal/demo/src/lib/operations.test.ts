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

/** Tests of configuration, leaving targets and rolling restarts with real processes. */

const fleet = new DemoFleet({ zones: 1 })

beforeAll(() => fleet.start())
afterAll(() => fleet.stop())

function raisePrepaid(bundle: DemoBundle, i: number): void {
	const budget = bundle.budgets[i]
	if (budget) budget.prepaid++
}

async function waitUntilActive(version: number): Promise<number> {
	const startedAt = performance.now()
	for (;;) {
		const statuses = await Promise.all(fleet.routers.map(fetchStatus))
		if (statuses.every((status) => status.bundleVersion === version)) break
		await sleep(20)
	}
	return performance.now() - startedAt
}

describe('configuration', () => {
	it('activates one of two concurrent versions and reports a conflict for the other', async () => {
		const firstHash = await fleet.approveBundleVersion(2, (bundle) => raisePrepaid(bundle, 0))
		const secondHash = await fleet.approveBundleVersion(2, (bundle) => raisePrepaid(bundle, 1))
		const results = await Promise.all([
			fleet.runAs('author', 'bundle', 'accept', firstHash),
			fleet.runAs('approver', 'bundle', 'accept', secondHash),
		])
		expect(results.map((result) => result.code).sort()).toEqual([0, 4])
		await waitUntilActive(2)
	})

	it('rejects approval by the author of a bundle, and lists the errors of an invalid bundle', async () => {
		const file = fleet.filePath('same.jsonc')
		writeFileSync(file, JSON.stringify({ ...(fleet.bundle as object), version: 3 }))
		const hash = (await fleet.runAs('author', 'bundle', 'propose', file)).out.trim()
		const approval = await fleet.runAs('author', 'bundle', 'sign', hash)
		expect(approval.code).toBe(3)
		expect(approval.err).toContain('same-operator')
		const invalidFile = fleet.filePath('bad.jsonc')
		writeFileSync(
			invalidFile,
			'{ "version": 0,\n "zones": [],\n "targets": [], "accounts": [], "budgets": [] }',
		)
		const checked = await fleet.runAs('author', 'bundle', 'check', invalidFile)
		expect(checked.code).toBe(3)
		expect(checked.err).toMatch(/bad.jsonc:1: version/)
		expect(checked.err).toMatch(/bad.jsonc:2: zones/)
	})

	it('sends no requests to a leaving target once the version is active', async () => {
		const engine = fleet.targets.find((target) => target.kind === 'engine')
		const hash = await fleet.approveBundleVersion(3, (bundle) => {
			const target = bundle.targets.find((row) => row.name === engine?.name)
			if (target) target.leaving = true
		})
		await fleet.runAs('author', 'bundle', 'accept', hash)
		await waitUntilActive(3)
		const before = await countRequestsRunAt(engine?.url ?? '')
		for (let i = 0; i < 12; i++)
			expect((await sendRequest(fleet.routers[i % 2]?.url ?? '')).status).toBe(200)
		expect(await countRequestsRunAt(engine?.url ?? '')).toBe(before)
	})
})

describe('target list of the platform', () => {
	it('sends no requests to a target that the platform lists as leaving', async () => {
		const engine = fleet.targets.findLast((target) => target.kind === 'engine')
		const { name, zone, url } = engine ?? { name: '', zone: '', url: '' }
		const setLeaving = (leaving: boolean) =>
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
		await setLeaving(true)
		await waitUntil('every router lists the target as leaving', isLeaving)
		const before = await countRequestsRunAt(url)
		for (let i = 0; i < 6; i++) await sendRequest(fleet.routers[i % 2]?.url ?? '')
		expect(await countRequestsRunAt(url)).toBe(before)
		await setLeaving(false)
		await waitUntil(
			'a router no longer lists the target as leaving',
			async () => !(await isLeaving()),
		)
	})
})

async function countRequestsRunAt(url: string): Promise<number> {
	const runs = (await (await fetch(`${url}/standin/runs`)).json()) as Record<string, number>
	return Object.keys(runs).length
}

describe('a rolling restart under load', () => {
	it('completes every accepted request and bills each answer once', async () => {
		const before = await fetchDispatchBilled()
		let isRestarting = true
		const replies: Reply[] = []
		const load = (async () => {
			for (let i = 0; isRestarting; i++) {
				const ready = await findReadyRouters()
				const router = ready[i % Math.max(1, ready.length)]
				if (router) replies.push(await sendRequest(router.url))
				await sleep(20)
			}
		})()
		for (const router of [...fleet.routers]) {
			router.process.child.kill('SIGTERM')
			expect(await router.process.exited).toBe(0)
			await fleet.replaceRouter(router)
		}
		isRestarting = false
		await load
		for (const reply of replies) expect(reply.wasReset).toBe(false)
		const completed = replies.filter((reply) => reply.status === 200)
		for (const reply of completed) expect(isComplete(reply)).toBe(true)
		for (const reply of replies) if (reply.status !== 200) expect(reply.runState).toBe('no')
		const runs = await fetchRunCounts(fleet)
		for (const reply of completed) expect(runs.get(reply.requestId)).toBe(1)
		expect(completed.length).toBeGreaterThan(replies.length / 2)
		const totalCharge = completed.reduce((sum, reply) => sum + chargeFromUsage(reply.text), 0)
		expect((await fetchDispatchBilled()) - before).toBe(totalCharge)
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
