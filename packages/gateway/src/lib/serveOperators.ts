import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Metrics } from '@stallwing/telemetry'
import type { ReleaseResult } from './allowance/releaseWithheld.js'
import type { Gateway } from './Gateway.js'
import { operatorPagesOf, type OperatorPages } from './lifecycle/operatorPagesOf.js'
import { listenOn, type ListenAddress } from './listenOn.js'

/** Paths used by commands of `stallwing`; all other paths return the metrics. */
const STATUS_PATH = '/status'
const RELEASE_PATH = '/quarantine/release'
const RELEASE_TOKENS_PATH = '/allowance/release'
const LOCAL_URL = 'http://localhost'
const RELEASE_STATUSES: Readonly<Record<ReleaseResult, number>> = {
	released: 200,
	'nothing-withheld': 404,
	'store-failed': 503,
}

/** Serves the metrics and the status of a gateway to operators. Resolves with the port. @public */
export function serveOperators(
	gateway: Gateway,
	metrics: Metrics,
	address: ListenAddress,
): Promise<number> {
	const pages = operatorPagesOf(gateway, metrics)
	const server = gateway.createServer('operators')
	server.on('request', (message: IncomingMessage, response: ServerResponse) =>
		handleRequest(message, response, pages),
	)
	return listenOn(server, address)
}

function handleRequest(
	message: IncomingMessage,
	response: ServerResponse,
	pages: OperatorPages,
): void {
	const url = new URL(message.url ?? '/', LOCAL_URL)
	if (url.pathname === RELEASE_PATH) {
		const isReleased =
			message.method === 'POST' && pages.releaseQuarantined(url.searchParams.get('request') ?? '')
		response.writeHead(isReleased ? 200 : 404, { 'Content-Type': 'application/json' })
		response.end(JSON.stringify({ isReleased }))
		return
	}
	if (url.pathname === RELEASE_TOKENS_PATH) {
		void releaseTokens(message, response, pages, url.searchParams.get('account') ?? '')
		return
	}
	const isStatus = url.pathname === STATUS_PATH
	const type = isStatus ? 'application/json' : 'text/plain; version=0.0.4'
	response.writeHead(200, { 'Content-Type': type })
	response.end(isStatus ? pages.status() : pages.metrics())
}

async function releaseTokens(
	message: IncomingMessage,
	response: ServerResponse,
	pages: OperatorPages,
	account: string,
): Promise<void> {
	const isPost = message.method === 'POST'
	const result = isPost ? await pages.releaseWithheldTokens(account) : 'nothing-withheld'
	response.writeHead(RELEASE_STATUSES[result], { 'Content-Type': 'application/json' })
	response.end(JSON.stringify({ result }))
}
