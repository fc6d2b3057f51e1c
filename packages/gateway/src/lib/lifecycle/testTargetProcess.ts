import { createServer, type AddressInfo, type Socket } from 'node:net'
import { STANDIN_HEADERS } from '@stallwing/standins'
import { LAST_PIECE, PIECE, type TargetCommand, type TargetReport } from './testTargetMessages.js'

/**
 * A target as its own process, which sends answers with neither a length nor chunks, piece by piece until it is told to
 * finish them. Arguments: its id, and its port (0 for any free one). It answers health checks at `/healthz` with its id, 200
 * unless it is leaving. Streams are answered with events.
 */

const HEALTH_REQUEST = 'GET /healthz '
const PIECE_INTERVAL_MS = 30
const LISTEN_RETRY_MS = 5

const [id = '', port = '0'] = process.argv.slice(2)
/** Sends the last piece of each answer that is being sent. */
const finishers = new Map<Socket, () => void>()
/** Closes each answer that is being sent, in order and before its last piece. */
const breakers = new Map<Socket, () => void>()
let isLeaving = false
let isFinishing = false

function report(message: TargetReport): void {
	process.send?.(message)
}

function headerOf(request: string, name: string): string | undefined {
	return new RegExp(`^${name}: *(.*)\r$`, 'im').exec(request)?.[1]
}

function answerHealthCheck(socket: Socket): void {
	report({ kind: 'health-check' })
	const status = isLeaving ? '503 Service Unavailable' : '200 OK'
	socket.write(`HTTP/1.1 ${status}\r\nown-instance: ${id}\r\nContent-Length: 0\r\n\r\n`)
}

function refuseWrongTarget(socket: Socket, requestId: string): void {
	const { notRun, requestId: idHeader } = STANDIN_HEADERS
	socket.write(
		`HTTP/1.1 421 Misdirected Request\r\n${idHeader}: ${requestId}\r\n${notRun}: 1\r\nContent-Length: 0\r\n\r\n`,
	)
}

function answer(socket: Socket, request: string): void {
	const requestId = headerOf(request, STANDIN_HEADERS.requestId) ?? ''
	const expected = headerOf(request, STANDIN_HEADERS.expectedTarget)
	if (expected !== undefined && expected !== id) return refuseWrongTarget(socket, requestId)
	report({ kind: 'run', requestId })
	const isStream = /^POST \/(stream|resume)\//.test(request)
	const type = isStream ? 'Content-Type: text/event-stream\r\n' : ''
	const { requestId: idHeader, signature } = STANDIN_HEADERS
	socket.write(`HTTP/1.1 200 OK\r\n${idHeader}: ${requestId}\r\n${signature}: ${id}\r\n${type}\r\n`)
	let eventId = Number(headerOf(request, STANDIN_HEADERS.lastEvent) ?? 0)
	const format = (piece: string): string =>
		isStream ? `id: ${++eventId}\ndata: ${piece}\n\n` : piece
	const sendPiece = (): void => void socket.write(format(PIECE))
	const timer = setInterval(sendPiece, PIECE_INTERVAL_MS)
	const stop = (): void => {
		clearInterval(timer)
		finishers.delete(socket)
		breakers.delete(socket)
	}
	socket.once('close', stop)
	finishers.set(socket, () => {
		stop()
		socket.end(format(LAST_PIECE))
	})
	breakers.set(socket, () => {
		stop()
		socket.end()
	})
	sendPiece()
	if (isFinishing) finishers.get(socket)?.()
}

function handle(command: TargetCommand): void {
	switch (command) {
		case 'leave':
			isLeaving = true
			return
		case 'finish':
			isFinishing = true
			for (const finish of [...finishers.values()]) finish()
			return
		case 'break-off':
			for (const breakOff of [...breakers.values()]) breakOff()
	}
}

const server = createServer((socket) => {
	socket.on('error', () => undefined)
	socket.on('data', (bytes: Buffer) => {
		const request = bytes.toString('latin1')
		if (request.startsWith(HEALTH_REQUEST)) answerHealthCheck(socket)
		else answer(socket, request)
	})
})
// The process that had the port before may not have released it yet.
server.on('error', () =>
	setTimeout(() => server.listen(Number(port), '127.0.0.1'), LISTEN_RETRY_MS),
)
server.on('listening', () => {
	report({ kind: 'listening', port: (server.address() as AddressInfo).port })
})
server.listen(Number(port), '127.0.0.1')
process.on('message', handle)
process.on('disconnect', () => process.exit(0))
