import { connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { TestBox } from '../testBox.js'

// Guards against requests that are lost or never end because their caller sends them before it has earlier answers.

function requestOf(path: string, id: string): string {
	return `GET ${path} HTTP/1.1\r\nHost: a.example\r\nrequest-id: ${id}\r\nauthorization: key\r\n\r\n`
}

describe('requests that are sent before earlier ones are answered', () => {
	let box: TestBox
	const sockets: Socket[] = []
	beforeEach(async () => {
		box = new TestBox('box')
		box.targetSlots = 100
		box.configure()
		await box.addTarget('t-1', (message, response) => {
			if (message.url?.includes('never')) return
			response.end(`answer to ${String(message.headers['request-id'])}`)
		})
		await box.start()
		await box.waitUntilReady()
	})
	afterEach(async () => {
		for (const socket of sockets.splice(0)) socket.destroy()
		await box.stop()
	})

	async function send(text: string): Promise<{ socket: Socket; text: () => string }> {
		const socket = connect({ port: box.port, host: '127.0.0.1' })
		sockets.push(socket)
		let received = ''
		socket.on('data', (bytes) => (received += bytes.toString('latin1')))
		socket.on('error', () => undefined)
		await new Promise<void>((resolve) => socket.once('connect', resolve))
		socket.write(text)
		return { socket, text: () => received }
	}

	it('all end when their caller leaves', async () => {
		const ids = ['a', 'b', 'c', 'd', 'e', 'f']
		const { socket } = await send(ids.map((id) => requestOf('/again/never', id)).join(''))
		await vi.waitFor(() => expect(box.gateway.status().open).toBe(ids.length))
		socket.destroy()
		await vi.waitFor(() => expect(box.gateway.status().open).toBe(0))
		const cancelled = box.logEvents.filter(({ name }) => name === 'request-cancelled')
		expect(cancelled).toHaveLength(ids.length)
	})
})
