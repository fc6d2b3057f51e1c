import { createServer, type Server } from 'node:http'
import { createServer as createRawServer, type AddressInfo, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { HttpClient } from './HttpClient.js'

const TIMEOUT_MS = 400
const CHUNKS = 8
const CHUNK_INTERVAL_MS = 100

describe('HttpClient', () => {
	let server: Server | undefined
	let client: HttpClient | undefined

	afterEach(() => {
		client?.close()
		server?.closeAllConnections()
		server?.close()
	})

	/** Starts a server that sends its response in chunks and stops after the given number, and a client for it. */
	async function start(chunksToSend: number): Promise<HttpClient> {
		server = createServer((_request, serverResponse) => {
			serverResponse.writeHead(200, { 'Content-Length': CHUNKS })
			let sent = 0
			const timer = setInterval(() => {
				if (sent < chunksToSend) serverResponse.write('x')
				sent++
				if (sent >= CHUNKS) clearInterval(timer)
			}, CHUNK_INTERVAL_MS)
		})
		await new Promise<void>((resolve) => server?.listen(0, '127.0.0.1', resolve))
		const { port } = server.address() as AddressInfo
		client = new HttpClient({ host: '127.0.0.1', port, maxConnections: 1 })
		return client
	}

	it('waits for a response that takes longer than the timeout while its bytes arrive', async () => {
		const response = await (
			await start(CHUNKS)
		).send({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS })
		expect(response.text).toBe('x'.repeat(CHUNKS))
	})

	it('reports each connection once, so that its bytes are not counted twice', async () => {
		server = createServer((_request, serverResponse) => serverResponse.end('x'))
		await new Promise<void>((resolve) => server?.listen(0, '127.0.0.1', resolve))
		const { port } = server.address() as AddressInfo
		client = new HttpClient({ host: '127.0.0.1', port, maxConnections: 1 })
		const sockets: Socket[] = []
		client.onConnection((socket) => sockets.push(socket))
		const message = { method: 'GET', path: '/', timeoutMs: TIMEOUT_MS } as const
		// The second one waits for the connection of the first.
		await Promise.all([client.send(message), client.send(message)])
		expect(sockets).toHaveLength(1)
		const closed = new Promise((resolve) => sockets[0]?.once('close', resolve))
		server.closeAllConnections()
		await closed
		await client.send(message)
		expect(new Set(sockets).size).toBe(2)
		expect(sockets).toHaveLength(2)
	})

	it.each([
		'HTTP/1.1 000 OK',
		'HTTP/1.1 099 OK',
		'HTTP/1.1 600 OK',
		'HTTP/1.1 999 OK',
		'HTTP/2.0 200 OK',
		'HTTP/0.9 200 OK',
		'RTSP/1.0 200 OK',
		'ICE/1.0 200 OK',
		'HTTP/1.1 200 OK\r\nBad Name: x',
		'HTTP/1.1 200 OK\r\nContent-Length : 1',
	])('rejects a response that is none of HTTP/1: %j', async (head) => {
		const rawServer = createRawServer((socket) => {
			socket.on('error', () => undefined)
			socket.once('data', () => socket.write(`${head}\r\nContent-Length: 5\r\n\r\nhello`))
		})
		await new Promise<void>((resolve) => rawServer.listen(0, '127.0.0.1', resolve))
		const { port } = rawServer.address() as AddressInfo
		client = new HttpClient({ host: '127.0.0.1', port, maxConnections: 1 })
		const response = client.send({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS })
		await expect(response).rejects.toThrow()
		rawServer.close()
	})

	it('rejects a response that stalls', async () => {
		const request = (await start(2)).send({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS })
		await expect(request).rejects.toThrow('no answer')
	})
})
