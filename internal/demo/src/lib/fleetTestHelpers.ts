import type { DemoAccount } from './demoBundle.js'
import { DEMO_ACCOUNTS } from './demoBundle.js'
import type { DemoFleet, FleetRouter, FleetTarget } from './DemoFleet.js'

/** Request and assertion helpers for tests with real processes. */

/** Answer that a caller received, complete or cut off. */
export interface Reply {
	readonly status: number
	readonly runState: string
	readonly requestId: string
	readonly retryAfter: string | null
	readonly text: string
	/** True if the connection failed before the end of the answer. */
	readonly wasReset: boolean
}

/** A request that a test sends. */
export interface TestRequest {
	readonly path?: string
	readonly body?: string
	readonly headers?: Readonly<Record<string, string>>
	readonly account?: DemoAccount
	readonly signal?: AbortSignal
	/** Called with all text received so far. */
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

/** Body of a chat request. The answer grows with the prompt, up to 47 tokens. */
export function chatBody(content: string, stream = true): string {
	return JSON.stringify({ model: 'heat-small', stream, messages: [{ role: 'user', content }] })
}

/** Sends a request and reads the answer until it ends or the connection fails. */
export async function sendRequest(url: string, request: TestRequest = {}): Promise<Reply> {
	const account = request.account ?? (DEMO_ACCOUNTS[0] as DemoAccount)
	const headers = {
		'content-type': 'application/json',
		authorization: `Bearer ${account.key}`,
		...request.headers,
	}
	let reply: Response
	try {
		reply = await fetch(`${url}${request.path ?? '/v1/chat/completions'}`, {
			method: 'POST',
			headers,
			body: request.body ?? chatBody('x'.repeat(39)),
			...(request.signal ? { signal: request.signal } : {}),
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
			request.onText?.(text)
		}
		return { ...head, text, wasReset: false }
	} catch {
		return { ...head, text, wasReset: true }
	}
}

/** Retries a request with the same headers until a complete answer arrives. */
export async function sendUntilComplete(
	urls: () => readonly string[],
	request: TestRequest,
	maxAttempts = 60,
): Promise<Reply> {
	let lastReply: Reply | undefined
	for (let i = 0; i < maxAttempts; i++) {
		const currentUrls = urls()
		lastReply = await sendRequest(currentUrls[i % currentUrls.length] as string, request)
		if (lastReply.status === 200 && !lastReply.wasReset) return lastReply
		await sleep(250)
	}
	throw new Error(`no complete answer in ${maxAttempts} attempts: ${JSON.stringify(lastReply)}`)
}

/** Returns true if a stream ends with its final marker. */
export function isComplete(reply: Reply): boolean {
	return reply.text.trimEnd().endsWith('data: [DONE]')
}

/** Returns the number of runs of each request id over all targets. */
export async function fetchRunCounts(fleet: DemoFleet): Promise<Map<string, number>> {
	const runCounts = new Map<string, number>()
	for (const target of fleet.targets) {
		const runs = (await (await fetch(`${target.url}/standin/runs`)).json()) as Record<
			string,
			number
		>
		for (const [id, count] of Object.entries(runs))
			runCounts.set(id, (runCounts.get(id) ?? 0) + count)
	}
	return runCounts
}

/** Configures the faults that a stand-in injects. */
export async function setStandinFaults(url: string, faults: object): Promise<void> {
	const reply = await fetch(`${url}/standin/faults`, {
		method: 'POST',
		body: JSON.stringify(faults),
	})
	await reply.text()
}

/** Configures the faults of all targets of a kind. */
export async function setTargetFaults(
	fleet: DemoFleet,
	kind: FleetTarget['kind'],
	faults: object,
): Promise<void> {
	for (const target of fleet.targets)
		if (target.kind === kind) await setStandinFaults(target.url, faults)
}

/** Returns the budgets that `stallwing budget show` prints, by name. */
export async function fetchBudgets(fleet: DemoFleet): Promise<Map<string, BudgetRow>> {
	const { out } = await fleet.runCli('budget', 'show', '--json')
	return new Map((JSON.parse(out) as BudgetRow[]).map((row) => [row.budget, row]))
}

/** Returns a router's status document. */
export async function fetchStatus(router: FleetRouter): Promise<Record<string, unknown>> {
	return (await (await fetch(`${router.adminUrl}/status`)).json()) as Record<string, unknown>
}

/** Computes the charge of a complete chat answer from its usage figures. */
export function chargeOf(reply: Reply): number {
	const match = /"prompt_tokens":(\d+),"completion_tokens":(\d+)/.exec(reply.text)
	return Number(match?.[1]) + 3 * Number(match?.[2])
}

export function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Waits until a condition holds. Throws after 400 checks, 100 ms apart. */
export async function waitUntil(
	description: string,
	condition: () => Promise<boolean>,
): Promise<void> {
	for (let i = 0; i < 400; i++) {
		if (await condition()) return
		await sleep(100)
	}
	throw new Error(`condition not met in time: ${description}`)
}
