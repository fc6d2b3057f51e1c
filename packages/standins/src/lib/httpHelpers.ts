import type { AddressInfo } from 'node:net'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

/** A running stand-in. @public */
export interface RunningStandin {
	readonly url: string
	close(): Promise<void>
}

/** Reads the whole body as text. */
export async function readBody(message: IncomingMessage): Promise<string> {
	const parts: Buffer[] = []
	for await (const part of message) parts.push(part as Buffer)
	return Buffer.concat(parts).toString('utf8')
}

/** Sends a JSON response, unless the connection is closed. */
export function sendJson(
	response: ServerResponse,
	status: number,
	body: unknown,
	headers: Record<string, string> = {},
): void {
	if (response.destroyed) return
	response.writeHead(status, { 'content-type': 'application/json', ...headers })
	response.end(JSON.stringify(body))
}

/** Starts a server on the loopback address; port 0 stands for any free port. */
export async function listen(
	handler: (request: IncomingMessage, response: ServerResponse) => void,
	port = 0,
): Promise<{ server: Server; running: RunningStandin }> {
	const server = createServer(handler)
	server.keepAliveTimeout = 30_000
	await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve))
	const address = server.address() as AddressInfo
	const running: RunningStandin = {
		url: `http://127.0.0.1:${address.port}`,
		close: () =>
			new Promise((resolve) => {
				server.close(() => resolve())
				server.closeAllConnections()
			}),
	}
	return { server, running }
}

export function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, ms))
}
