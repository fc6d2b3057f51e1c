import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** IP address and port to listen on; port 0 selects a free one. */
export interface ListenAddress {
	readonly host: string
	readonly port: number
}

/** Listens and returns the port. Rejects if the address cannot be listened on. */
export async function listenOn(server: Server, address: ListenAddress): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject)
		server.listen(address.port, address.host, resolve)
	})
	return (server.address() as AddressInfo).port
}
