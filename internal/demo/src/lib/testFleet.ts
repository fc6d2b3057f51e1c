import type { DemoAccount } from './demoBundle.js'
import { DEMO_ACCOUNTS } from './demoBundle.js'
import type { DemoFleet, FleetRouter, FleetTarget } from './DemoFleet.js'

/** Requests and checks that the tests of real processes share. */

/** A caller's answer: head and text, or that the connection broke. */
export interface Reply {
	readonly status: number
	readonly run: string
	readonly id: string
	readonly retryAfter: string | null
	readonly text: string
	/** True where the connection was reset before the end. */
	readonly broken: boolean
}

/** What a test sends. */
export interface TestCall {
	readonly path?: string
	readonly body?: string
	readonly headers?: Readonly<Record<string, string>>
	readonly account?: DemoAccount
	readonly signal?: AbortSignal
	/** Called with the text so far. */
	readonly onText?: (text: string) => void
}

/** Row of `stallwing budget show --json`. */
export interface BudgetLine {
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
export async function send(url: string, call: TestCall = {}): Promise<Reply> {
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
		return { status: 0, run: '', id: '', retryAfter: null, text: '', broken: true }
	}
	const head = {
		status: reply.status,
		run: reply.headers.get('stallwing-run') ?? '',
		id: reply.headers.get('stallwing-request-id') ?? '',
		retryAfter: reply.headers.get('retry-after'),
	}
	let text = ''
	try {
		for await (const chunk of reply.body ?? []) {
			text += Buffer.from(chunk as Uint8Array).toString()
			call.onText?.(text)
		}
		return { ...head, text, broken: false }
	} catch {
		return { ...head, text, broken: true }
	}
}

/** Sends again with the same key until there is a whole answer, as a patient caller does. */
export async function sendUntilWhole(
	urls: () => readonly string[],
	call: TestCall,
	tries = 60,
): Promise<Reply> {
	let last: Reply | undefined
	for (let i = 0; i < tries; i++) {
		const list = urls()
		last = await send(list[i % list.length] as string, call)
		if (last.status === 200 && !last.broken) return last
		await sleep(250)
	}
	throw new Error(`no whole answer in ${tries} tries: ${JSON.stringify(last)}`)
}

/** True where a stream has its final marker. */
export function isWhole(reply: Reply): boolean {
	return reply.text.trimEnd().endsWith('data: [DONE]')
}

/** Runs of each request id over all targets. */
export async function runsOf(fleet: DemoFleet): Promise<Map<string, number>> {
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
export async function setFaults(url: string, faults: object): Promise<void> {
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
	for (const target of fleet.targets) if (target.kind === kind) await setFaults(target.url, faults)
}

/** The budgets as the command line shows them. */
export async function budgets(fleet: DemoFleet): Promise<Map<string, BudgetLine>> {
	const { out } = await fleet.cli('budget', 'show', '--json')
	return new Map((JSON.parse(out) as BudgetLine[]).map((row) => [row.budget, row]))
}

/** A router's own status document. */
export async function statusOf(router: FleetRouter): Promise<Record<string, unknown>> {
	return (await (await fetch(`${router.admin}/status`)).json()) as Record<string, unknown>
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
export async function eventually(what: string, holds: () => Promise<boolean>): Promise<void> {
	for (let i = 0; i < 400; i++) {
		if (await holds()) return
		await sleep(100)
	}
	throw new Error(`did not come about: ${what}`)
}
