import { createServer, type AddressInfo, type Socket } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

const WRITE_INTERVAL_MS = 10
const BREAK_AFTER_MS = 150

/**
 * For tests: a target in a thread of its own that answers without a length or chunks, and resets or ends the connection after
 * a while. Posts its port. Worker data: `how`, which is `reset` or `ended`.
 */
function serve(socket: Socket, { how }: { readonly how: string }): void {
	socket.on('error', () => undefined)
	socket.write('HTTP/1.1 200 OK\r\n\r\n')
	const timer = setInterval(() => socket.write('some of the answer'), WRITE_INTERVAL_MS)
	setTimeout(() => {
		clearInterval(timer)
		if (how === 'reset') socket.resetAndDestroy()
		else socket.end()
	}, BREAK_AFTER_MS)
}

const server = createServer((socket) => serve(socket, workerData as { readonly how: string }))
server.listen(0, '127.0.0.1', () => parentPort?.postMessage((server.address() as AddressInfo).port))
