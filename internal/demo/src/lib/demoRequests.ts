import type { DemoFleet } from './DemoFleet.js'
import { DEMO_ACCOUNTS, type DemoAccount } from './demoBundle.js'

/** Result of a demo request: one line of the report. */
export interface DemoResult {
	readonly label: string
	readonly status: number
	readonly runState: string
	readonly requestId: string
	readonly durationMs: number
	readonly summary: string
}

/** A request of the demo. */
export interface DemoCall {
	readonly label: string
	readonly account: DemoAccount
	readonly path: string
	readonly body: unknown
	readonly headers?: Readonly<Record<string, string>>
}

function chatRequestBody(content: string, stream: boolean): unknown {
	return { model: 'heat-small', stream, messages: [{ role: 'user', content }] }
}

/** Returns a few requests of each kind. */
export function demoCalls(): DemoCall[] {
	const [dispatch, billing, field] = DEMO_ACCOUNTS as [DemoAccount, DemoAccount, DemoAccount]
	const path = '/v1/chat/completions'
	const urgent = { 'stallwing-priority': 'urgent', 'stallwing-repeat': 'never' }
	const key = { 'idempotency-key': 'valve-17-closed' }
	return [
		{
			label: 'fault summary, streamed',
			account: dispatch,
			path,
			body: chatRequestBody('Summarise the faults of substation 9.', true),
		},
		{
			label: 'tariff letter, whole',
			account: billing,
			path,
			body: chatRequestBody('Draft a letter on the new tariff.', false),
		},
		{
			label: 'valve note, streamed',
			account: field,
			path,
			body: chatRequestBody('Note: valve 17 is stiff.', true),
		},
		{
			label: 'meter reading, urgent',
			account: billing,
			path: '/services/meters/readings',
			body: { meter: 4, value: 1871 },
			headers: urgent,
		},
		{
			label: 'acknowledgement, first',
			account: dispatch,
			path: '/services/meters/ack',
			body: { valve: 17 },
			headers: { ...urgent, ...key },
		},
		{
			label: 'acknowledgement, again',
			account: dispatch,
			path: '/services/meters/ack',
			body: { valve: 17 },
			headers: { ...urgent, ...key },
		},
		{
			label: 'unknown model',
			account: field,
			path,
			body: { ...(chatRequestBody('?', false) as object), model: 'none' },
		},
	]
}

/** Sends a request to a router and reads the whole answer. */
export async function sendDemoCall(url: string, call: DemoCall): Promise<DemoResult> {
	const startedAt = performance.now()
	const reply = await fetch(`${url}${call.path}`, {
		method: 'POST',
		headers: {
			'content-type': 'application/json',
			authorization: `Bearer ${call.account.key}`,
			...call.headers,
		},
		body: JSON.stringify(call.body),
	})
	const text = await reply.text()
	return {
		label: call.label,
		status: reply.status,
		runState: reply.headers.get('stallwing-run') ?? '',
		requestId: reply.headers.get('stallwing-request-id') ?? '',
		durationMs: Math.round(performance.now() - startedAt),
		summary: summarizeBody(text),
	}
}

function summarizeBody(text: string): string {
	if (text.startsWith('data:')) {
		const isComplete = text.trimEnd().endsWith('data: [DONE]')
		return `${text.split('\n\n').length - 1} events, ${isComplete ? 'whole' : 'broken'}`
	}
	return text.length > 60 ? `${text.slice(0, 57)}...` : text
}

/** Sends the requests of the demo to the routers in turn. */
export async function runDemoCalls(fleet: DemoFleet): Promise<DemoResult[]> {
	const results: DemoResult[] = []
	for (const [i, call] of demoCalls().entries()) {
		const router = fleet.routers[i % fleet.routers.length]
		if (router) results.push(await sendDemoCall(router.url, call))
	}
	return results
}
