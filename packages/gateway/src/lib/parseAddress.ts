import { isIPv4 } from 'node:net'
import type { ListenAddress } from './listenOn.js'

/** Parses `IP:PORT`; the port is 0 if there is none. */
export function parseAddress(text: string): ListenAddress {
	const [host = '', port = ''] = text.split(':')
	return { host, port: Number(port) }
}

const MAX_PORT = 65_535

/** True if the text is an IPv4 address with a valid port. */
export function isSocketAddress(text: string): boolean {
	const colon = text.lastIndexOf(':')
	const port = text.slice(colon + 1)
	return isIPv4(text.slice(0, colon)) && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT
}
