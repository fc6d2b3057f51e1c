import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { listenOn, type ListenAddress } from './listenOn.js'

/** Contents of the operator endpoints, as text. @public */
export interface OperatorPages {
	readonly metrics: () => string
	/** A JSON document. */
	readonly status: () => string
	/** Releases a quarantined request; returns false if it is not quarantined. */
	readonly releaseQuarantined: (fingerprint: string) => boolean
}

/** Paths used by `stallwing status` and `stallwing quarantine release`; all other paths return the metrics. */
const STATUS_PATH = '/status'
const RELEASE_PATH = '/quarantine/release'
const LOCAL_URL = 'http://localhost'

/** Serves metrics and status to operators. Resolves with the port. @public */
export function serveOperators(address: ListenAddress, pages: OperatorPages): Promise<number> {
	const server = createServer((message, response) => handleRequest(message, response, pages))
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
	const isStatus = url.pathname === STATUS_PATH
	const type = isStatus ? 'application/json' : 'text/plain; version=0.0.4'
	response.writeHead(200, { 'Content-Type': type })
	response.end(isStatus ? pages.status() : pages.metrics())
}
