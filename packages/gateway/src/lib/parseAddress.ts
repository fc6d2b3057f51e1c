import { isIPv4 } from 'node:net'
import type { ListenAddress } from './listenOn.js'

/** Reads `IP:PORT`, as targets and boxes write their addresses; port 0 where it names none. */
export function parseAddress(text: string): ListenAddress {
	const [host = '', port = ''] = text.split(':')
	return { host, port: Number(port) }
}

const MAX_PORT = 65_535

/** True where a text is an IP number and a port that can be connected to. */
export function isSocketAddress(text: string): boolean {
	const colon = text.lastIndexOf(':')
	const port = text.slice(colon + 1)
	return isIPv4(text.slice(0, colon)) && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT
}
