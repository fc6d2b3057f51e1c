import { createServer, type AddressInfo } from 'node:net'

/** For tests: returns a free port of the loopback interface. */
export function freePort(): Promise<number> {
	return new Promise((resolve) => {
		const server = createServer().listen(0, '127.0.0.1', () => {
			const { port } = server.address() as AddressInfo
			server.close(() => resolve(port))
		})
	})
}
