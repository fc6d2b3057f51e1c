import { createServer } from 'node:net'

/**
 * Ports below the range of outgoing connections: a port of that range can be taken by a connection between its release
 * here and the time when a test listens on it.
 */
const FIRST_PORT = 12_000
const LAST_PORT = 32_000

/** For tests: returns a free port of the loopback interface. */
export async function freePort(): Promise<number> {
	for (;;) {
		const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT))
		if (await canListen(port)) return port
	}
}

function canListen(port: number): Promise<boolean> {
	return new Promise((resolve) => {
		const server = createServer()
		server.once('error', () => resolve(false))
		server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
	})
}
