import { spawn, type ChildProcess } from 'node:child_process'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { afterAll, beforeAll, describe, expect, it, vi } from 'vitest'
import { TEST_HEALTH_PATH } from '../testTrafficConfig.js'
import { LateReader } from './testLateReader.js'

// Guards against plain answers without framing that a planned stop of their box cuts short, and that look complete to a caller
// that reads them only after the stop.

const PROGRAM = new URL('../../../dist/lib/lifecycle/testStoppingBoxProcess.js', import.meta.url)
/** More than the kernel takes on loopback, so that a part of the answer is still in the box. */
const LARGE_BYTES = 12_000_000
/** Less than the kernel takes. */
const SMALL_BYTES = 500_000
/** Name under which the box lists its target. */
const TARGET = 't'
const START_TIMEOUT_MS = 15_000
const SHUTDOWN_TIMEOUT_MS = 20_000

/** Starts a target that sends large answers at paths that say so. */
async function startTarget(): Promise<Server> {
	const server = createServer((socket) => {
		socket.on('error', () => undefined)
		socket.on('data', (bytes: Buffer) => {
			const text = bytes.toString('latin1')
			if (text.startsWith(`GET ${TEST_HEALTH_PATH}`)) {
				socket.write(`HTTP/1.1 200 OK\r\nown-instance: ${TARGET}\r\nContent-Length: 0\r\n\r\n`)
				return
			}
			const id = /request-id: (.*)\r\n/.exec(text)?.[1] ?? ''
			const length = text.startsWith('POST /again/large ') ? LARGE_BYTES : SMALL_BYTES
			socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\ntarget-mark: t\r\n\r\n`)
			socket.end('x'.repeat(length))
		})
	})
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	return server
}

/** Starts a box; resolves once it takes requests. */
async function startBox(address: string): Promise<{ child: ChildProcess; port: number }> {
	const child = spawn(process.execPath, [PROGRAM.pathname, address], {
		stdio: ['ignore', 'pipe', 'ignore'],
	})
	let port = 0
	child.stdout.on('data', (chunk: Buffer) => {
		port ||= Number(/"port":(\d+)/.exec(chunk.toString())?.[1] ?? 0)
	})
	await vi.waitUntil(() => port > 0, { timeout: START_TIMEOUT_MS })
	return { child, port }
}

function sendLate(port: number, path: string, httpVersion = '1.1'): Promise<LateReader> {
	return LateReader.send(
		port,
		`POST ${path} HTTP/${httpVersion}\r\nHost: a.example\r\nauthorization: key\r\n` +
			`request-id: ${path} ${httpVersion}\r\ndeadline-ms: 9000\r\ncontent-length: 0\r\n\r\n`,
	)
}

describe('a plain answer without framing that is not read until its box has stopped', () => {
	let target: Server | undefined
	let box: ChildProcess | undefined
	const readers: LateReader[] = []

	beforeAll(async () => {
		target = await startTarget()
		const address = `127.0.0.1:${(target.address() as AddressInfo).port}`
		const { child, port } = await startBox(address)
		box = child
		readers.push(await sendLate(port, '/again/large'))
		readers.push(await sendLate(port, '/again/large', '1.0'))
		readers.push(await sendLate(port, '/again/small'))
		child.kill('SIGTERM')
		await vi.waitUntil(() => child.exitCode !== null, { timeout: SHUTDOWN_TIMEOUT_MS })
	})
	afterAll(() => {
		for (const reader of readers) reader.close()
		box?.kill('SIGKILL')
		target?.close()
	})

	it.each([
		['1.1', 0],
		['1.0', 1],
	])('is reset for a caller of HTTP/%s', async (_version, index) => {
		const read = await readers[index]?.read()
		expect(read?.end).toBe('reset')
		expect(read?.bytes).toBeLessThan(LARGE_BYTES)
	})

	it('is whole if the kernel has taken it', async () => {
		const read = await readers[2]?.read()
		expect(read?.end).toBe('in order')
		expect(read?.bytes).toBeGreaterThan(SMALL_BYTES)
	})
})
