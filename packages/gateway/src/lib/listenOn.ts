import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** IP number and port to listen on; port 0 takes a free one. */
export interface ListenAddress {
	readonly host: string
	readonly port: number
}

/** Listens and gives the port. Rejects where the address can't be had. */
export async function listenOn(server: Server, address: ListenAddress): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject)
		server.listen(address.port, address.host, resolve)
	})
	return (server.address() as AddressInfo).port
}
