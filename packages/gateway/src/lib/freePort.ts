import { createServer, type AddressInfo } from 'node:net'

/** For tests: a port of the loopback address that nothing listens on. */
export function freePort(): Promise<number> {
	return new Promise((resolve) => {
		const server = createServer().listen(0, '127.0.0.1', () => {
			const { port } = server.address() as AddressInfo
			server.close(() => resolve(port))
		})
	})
}
