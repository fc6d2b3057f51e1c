import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LogEvent } from '@stallwing/core'
import type { BoundedServer } from '@stallwing/http'
import { listenOn, type ListenAddress } from './listenOn.js'

/** Health check for the load balancer: responds 200 if this box accepts callers, 503 otherwise. */
export class ReadinessServer {
	private wasReady = false

	constructor(
		private readonly server: BoundedServer,
		private readonly isReady: () => boolean,
		private readonly log: (event: LogEvent) => void,
	) {
		server.on('request', (_message: IncomingMessage, response: ServerResponse) => {
			response.writeHead(this.checkReadiness() ? 200 : 503, { 'Content-Length': 0 })
			response.end()
		})
	}

	/** Listens and returns the port. Rejects if the address cannot be listened on. */
	listen(address: ListenAddress): Promise<number> {
		return listenOn(this.server, address)
	}

	close(): void {
		this.server.close()
	}

	private checkReadiness(): boolean {
		const ready = this.isReady()
		if (ready !== this.wasReady) this.log({ name: 'ready-changed', fields: { ready } })
		this.wasReady = ready
		return ready
	}
}
