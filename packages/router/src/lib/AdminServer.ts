import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { LogLine } from './LogWriter.js'

/** Handlers of the requests that operators send to a router. */
export interface AdminHandlers {
	status(): unknown
	explain(request: string): readonly LogLine[]
}

/** HTTP server for operators. Serves the status of the router and the log lines about a request. */
export class AdminServer {
	private readonly server: Server

	constructor(private readonly handlers: AdminHandlers) {
		this.server = createServer((request, response) => this.handle(request, response))
	}

	async listen(host: string, port: number): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, resolve)
		})
		return (this.server.address() as AddressInfo).port
	}

	async close(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.server.close(() => resolve())
			this.server.closeAllConnections()
		})
	}

	private handle(request: IncomingMessage, response: ServerResponse): void {
		const url = new URL(request.url ?? '/', 'http://admin')
		if (url.pathname === '/status') sendJson(response, 200, this.handlers.status())
		else if (url.pathname === '/explain')
			sendJson(response, 200, this.handlers.explain(url.searchParams.get('request') ?? ''))
		else sendJson(response, 404, { error: { type: 'unknown-path', message: url.pathname } })
	}
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, { 'content-type': 'application/json' })
	response.end(JSON.stringify(body))
}
