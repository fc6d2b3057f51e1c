import { createServer, type Server } from 'node:http'
import type { LogEvent } from '@stallwing/core'
import { listenOn, type ListenAddress } from './listenOn.js'

/** Tells the balancer whether this box takes new callers. */
export class ReadinessServer {
	private readonly server: Server
	private wasReady = false

	constructor(
		private readonly isReady: () => boolean,
		private readonly log: (event: LogEvent) => void,
	) {
		this.server = createServer((_message, response) => {
			response.writeHead(this.checkReadiness() ? 200 : 503, { 'Content-Length': 0 })
			response.end()
		})
	}

	/** Listens and gives the port. Rejects where the address can't be had. */
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
