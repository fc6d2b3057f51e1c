import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { HttpClient } from './HttpClient.js'

const TIMEOUT_MS = 400
const PIECES = 8
const PIECE_MS = 100

describe('HttpCaller', () => {
	let server: Server | undefined
	let caller: HttpClient | undefined

	afterEach(() => {
		caller?.close()
		server?.closeAllConnections()
		server?.close()
	})

	/** A server whose answer comes in pieces, or stops in the middle. */
	async function start(pieces: number): Promise<HttpClient> {
		server = createServer((_message, response) => {
			response.writeHead(200, { 'Content-Length': PIECES })
			let sent = 0
			const timer = setInterval(() => {
				if (sent < pieces) response.write('x')
				sent++
				if (sent >= PIECES) clearInterval(timer)
			}, PIECE_MS)
		})
		await new Promise<void>((resolve) => server?.listen(0, '127.0.0.1', resolve))
		const { port } = server.address() as AddressInfo
		caller = new HttpClient({ host: '127.0.0.1', port, maxConnections: 1 })
		return caller
	}

	it('waits for an answer that takes longer than its time while bytes of it come', async () => {
		const reply = await (
			await start(PIECES)
		).send({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS })
		expect(reply.text).toBe('x'.repeat(PIECES))
	})

	it('gives up an answer that stops coming', async () => {
		const call = (await start(2)).send({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS })
		await expect(call).rejects.toThrow('no answer')
	})
})
