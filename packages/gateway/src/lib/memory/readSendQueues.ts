import { readFile } from 'node:fs/promises'
import type { Socket } from 'node:net'

/** Bytes in the send buffers of the kernel that the peers have not acknowledged, by connection. */
export type SendQueues = ReadonlyMap<string, number>

/** Connections of this machine over IPv4, with the lengths of their queues. */
const CONNECTIONS_FILE = '/proc/self/net/tcp'
/**
 * Each line is the number of the entry and a colon, followed by columns of fixed width, in hexadecimal: both addresses,
 * the state and the lengths of the queues. These are offsets from the colon.
 */
const ADDRESSES_START = 2
const ADDRESSES_END = 29
const SEND_QUEUE_START = 33
const SEND_QUEUE_END = 41
const EMPTY_QUEUE = '00000000'

/**
 * Reads the send queues of all connections over IPv4; empty where the system does not show them, so that callers are
 * judged only by the bytes that the kernel takes. Never rejects.
 */
export async function readSendQueues(): Promise<SendQueues> {
	try {
		return parseSendQueues(await readFile(CONNECTIONS_FILE, 'latin1'))
	} catch {
		return new Map()
	}
}

/** Parses the list without splitting it into columns: it has thousands of lines while callers are stalled. */
export function parseSendQueues(text: string): SendQueues {
	const queues = new Map<string, number>()
	for (let end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', end + 1)) {
		const colon = text.indexOf(':', end)
		if (colon < 0) break
		const length = text.slice(colon + SEND_QUEUE_START, colon + SEND_QUEUE_END)
		const addresses = text.slice(colon + ADDRESSES_START, colon + ADDRESSES_END)
		if (length !== EMPTY_QUEUE) queues.set(addresses, Number.parseInt(length, 16))
	}
	return queues
}

/** Key of a connection in {@link SendQueues}. A queue that is empty or not known has no entry. */
export function connectionKeyOf(socket: Socket): string {
	const local = encodeAddress(socket.localAddress, socket.localPort)
	const remote = encodeAddress(socket.remoteAddress, socket.remotePort)
	return `${local} ${remote}`
}

/** Address as in the file: the bytes of the IPv4 address in reverse order, and the port. */
function encodeAddress(address = '', port = 0): string {
	const bytes = address.split('.').map((part) => toHex(Number(part), 2))
	return `${bytes.reverse().join('')}:${toHex(port, 4)}`
}

function toHex(value: number, digits: number): string {
	return value.toString(16).toUpperCase().padStart(digits, '0')
}
