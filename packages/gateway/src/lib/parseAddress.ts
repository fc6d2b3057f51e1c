import type { ListenAddress } from './listenOn.js'

/** Reads `IP:PORT`, as targets and boxes write their addresses; port 0 where it names none. */
export function parseAddress(text: string): ListenAddress {
	const [host = '', port = ''] = text.split(':')
	return { host, port: Number(port) }
}
