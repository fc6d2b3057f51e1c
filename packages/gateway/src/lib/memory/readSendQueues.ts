import { readFile } from 'node:fs/promises'
import type { Socket } from 'node:net'

/** Bytes in the send buffers of the kernel that the peers have not acknowledged, by connection. */
export type SendQueues = ReadonlyMap<string, number>

/** Connections of this machine over IPv4, with the lengths of their queues. */
const CONNECTIONS_FILE = '/proc/self/net/tcp'
/** Columns of the file; addresses and lengths are in hexadecimal. */
const LOCAL_COLUMN = 1
const REMOTE_COLUMN = 2
const QUEUES_COLUMN = 4

/** Reads the send queues of all connections; empty where the system does not show them. Never rejects. */
export async function readSendQueues(): Promise<SendQueues> {
	try {
		return parseSendQueues(await readFile(CONNECTIONS_FILE, 'latin1'))
	} catch {
		return new Map()
	}
}

export function parseSendQueues(text: string): SendQueues {
	const queues = new Map<string, number>()
	for (const line of text.split('\n').slice(1)) {
		const columns = line.trim().split(/\s+/)
		const [local, remote, lengths] = [LOCAL_COLUMN, REMOTE_COLUMN, QUEUES_COLUMN].map(
			(column) => columns[column],
		)
		if (!local || !remote || !lengths) continue
		queues.set(`${local} ${remote}`, Number.parseInt(lengths, 16))
	}
	return queues
}

/** Length of the send queue of a connection, in bytes; undefined if not known. */
export function sendQueueOf(socket: Socket, queues: SendQueues): number | undefined {
	const local = encodeAddress(socket.localAddress, socket.localPort)
	const remote = encodeAddress(socket.remoteAddress, socket.remotePort)
	return queues.get(`${local} ${remote}`)
}

/** Address as in the file: the bytes of the IPv4 address in reverse order, and the port. */
function encodeAddress(address = '', port = 0): string {
	const bytes = address.split('.').map((part) => toHex(Number(part), 2))
	return `${bytes.reverse().join('')}:${toHex(port, 4)}`
}

function toHex(value: number, digits: number): string {
	return value.toString(16).toUpperCase().padStart(digits, '0')
}
