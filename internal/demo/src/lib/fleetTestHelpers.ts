import type { DemoAccount } from './demoBundle.js'
import { DEMO_ACCOUNTS } from './demoBundle.js'
import type { DemoFleet, FleetRouter, FleetTarget } from './DemoFleet.js'

/** Requests and checks that the tests of real processes share. */

/** A caller's answer: head and text, or that the connection broke. */
export interface Reply {
	readonly status: number
	readonly runState: string
	readonly requestId: string
	readonly retryAfter: string | null
	readonly text: string
	/** True where the connection was reset before the end. */
	readonly wasReset: boolean
}

/** What a test sends. */
export interface TestRequest {
	readonly path?: string
	readonly body?: string
	readonly headers?: Readonly<Record<string, string>>
	readonly account?: DemoAccount
	readonly signal?: AbortSignal
	/** Called with the text so far. */
	readonly onText?: (text: string) => void
}

/** Row of `stallwing budget show --json`. */
export interface BudgetRow {
	readonly budget: string
	readonly prepaid: number
	readonly billed: number
	readonly reserved: number
	readonly inDoubt: number
}

/** A model request with a prompt of some length; longer prompts have longer answers up to 47. */
export function chatBody(content: string, stream = true): string {
	return JSON.stringify({ model: 'heat-small', stream, messages: [{ role: 'user', content }] })
}

/** Sends a request and reads the answer to its end, whole or broken. */
export async function sendRequest(url: string, call: TestRequest = {}): Promise<Reply> {
	const account = call.account ?? (DEMO_ACCOUNTS[0] as DemoAccount)
	const headers = {
		'content-type': 'application/json',
		authorization: `Bearer ${account.key}`,
		...call.headers,
	}
	let reply: Response
	try {
		reply = await fetch(`${url}${call.path ?? '/v1/chat/completions'}`, {
			method: 'POST',
			headers,
			body: call.body ?? chatBody('x'.repeat(39)),
			...(call.signal ? { signal: call.signal } : {}),
		})
	} catch {
		return { status: 0, runState: '', requestId: '', retryAfter: null, text: '', wasReset: true }
	}
	const head = {
		status: reply.status,
		runState: reply.headers.get('stallwing-run') ?? '',
		requestId: reply.headers.get('stallwing-request-id') ?? '',
		retryAfter: reply.headers.get('retry-after'),
	}
	let text = ''
	try {
		for await (const chunk of reply.body ?? []) {
			text += Buffer.from(chunk as Uint8Array).toString()
			call.onText?.(text)
		}
		return { ...head, text, wasReset: false }
	} catch {
		return { ...head, text, wasReset: true }
	}
}

/** Sends again with the same key until there is a whole answer, as a patient caller does. */
export async function sendUntilComplete(
	urls: () => readonly string[],
	call: TestRequest,
	tries = 60,
): Promise<Reply> {
	let last: Reply | undefined
	for (let i = 0; i < tries; i++) {
		const list = urls()
		last = await sendRequest(list[i % list.length] as string, call)
		if (last.status === 200 && !last.wasReset) return last
		await sleep(250)
	}
	throw new Error(`no whole answer in ${tries} tries: ${JSON.stringify(last)}`)
}

/** True where a stream has its final marker. */
export function isComplete(reply: Reply): boolean {
	return reply.text.trimEnd().endsWith('data: [DONE]')
}

/** Runs of each request id over all targets. */
export async function fetchRunCounts(fleet: DemoFleet): Promise<Map<string, number>> {
	const sums = new Map<string, number>()
	for (const target of fleet.targets) {
		const runs = (await (await fetch(`${target.url}/standin/runs`)).json()) as Record<
			string,
			number
		>
		for (const [id, count] of Object.entries(runs)) sums.set(id, (sums.get(id) ?? 0) + count)
	}
	return sums
}

/** Sets faults of a stand-in. */
export async function setStandinFaults(url: string, faults: object): Promise<void> {
	const reply = await fetch(`${url}/standin/faults`, {
		method: 'POST',
		body: JSON.stringify(faults),
	})
	await reply.text()
}

/** Sets faults of all targets of a kind. */
export async function setTargetFaults(
	fleet: DemoFleet,
	kind: FleetTarget['kind'],
	faults: object,
): Promise<void> {
	for (const target of fleet.targets)
		if (target.kind === kind) await setStandinFaults(target.url, faults)
}

/** The budgets as the command line shows them. */
export async function fetchBudgets(fleet: DemoFleet): Promise<Map<string, BudgetRow>> {
	const { out } = await fleet.runCli('budget', 'show', '--json')
	return new Map((JSON.parse(out) as BudgetRow[]).map((row) => [row.budget, row]))
}

/** A router's own status document. */
export async function fetchStatus(router: FleetRouter): Promise<Record<string, unknown>> {
	return (await (await fetch(`${router.adminUrl}/status`)).json()) as Record<string, unknown>
}

/** Charge of a whole chat answer of the demo's model, from its usage. */
export function chargeOf(reply: Reply): number {
	const match = /"prompt_tokens":(\d+),"completion_tokens":(\d+)/.exec(reply.text)
	return Number(match?.[1]) + 3 * Number(match?.[2])
}

/** Waits for a time, in ms. */
export function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Waits until something holds; fails after a generous limit. */
export async function waitUntil(what: string, holds: () => Promise<boolean>): Promise<void> {
	for (let i = 0; i < 400; i++) {
		if (await holds()) return
		await sleep(100)
	}
	throw new Error(`did not come about: ${what}`)
}
