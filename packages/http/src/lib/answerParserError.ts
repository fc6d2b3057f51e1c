import type { Socket } from 'node:net'

/** An error of the HTTP parser, or of the time limit of a head. */
export interface ParserError extends Error {
	readonly code?: string
}

const BAD_REQUEST = '400 Bad Request'
const STATUS_LINES: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
}

/** Answers what could not be parsed, on a connection without open requests, and closes it. */
export function answerParserError({ code = '' }: ParserError, socket: Socket): void {
	// There is no request to answer on a connection on which nothing came.
	if (!socket.writable || socket.bytesRead === 0) {
		socket.destroy()
		return
	}
	const status = STATUS_LINES[code] ?? BAD_REQUEST
	socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`)
	socket.destroySoon()
}
