import { randomInt } from 'node:crypto'

const MAX_OCTET = 254

/**
 * Returns a random IPv4 address of the loopback network. Nobody else listens there, so the ports of a stopped server
 * refuse connections until it starts again. On 127.0.0.1, another server may get its port.
 * @public
 */
export function ownLoopbackHost(): string {
	const octets = [randomInt(1, MAX_OCTET), randomInt(MAX_OCTET), randomInt(1, MAX_OCTET)]
	return `127.${octets.join('.')}`
}
