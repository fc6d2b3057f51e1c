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
			const answer = `answer to ${String(message.headers['request-id'])}`
			if (message.url?.includes('slow')) setTimeout(() => response.end(answer), 4_000)
			else response.end(answer)
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

	it('are all answered, in their order', async () => {
		const ids = Array.from({ length: 20 }, (_, index) => `r-${index}`)
		const { text } = await send(ids.map((id) => requestOf('/once/x', id)).join(''))
		await vi.waitFor(() => expect(text()).toContain(`answer to ${ids.at(-1)}`))
		expect(text().match(/answer to r-\d+/g)).toEqual(ids.map((id) => `answer to ${id}`))
		expect(box.receivedRequests).toHaveLength(ids.length)
	})

	it('are answered although a planned stop begins while the last one runs', async () => {
		const { text } = await send(requestOf('/once/x', 'a') + requestOf('/once/slow', 'b'))
		await vi.waitFor(() => expect(text()).toContain('answer to a'))
		const stopped = box.gateway.stop()
		await stopped
		expect(text()).toContain('answer to b')
	})

	it('of one connection do not delay those of another', async () => {
		const ids = Array.from({ length: 30 }, (_, index) => `r-${index}`)
		await send(ids.map((id) => requestOf('/once/never', id)).join(''))
		const { text } = await send(requestOf('/once/x', 'other'))
		await vi.waitFor(() => expect(text()).toContain('answer to other'))
		const started = box.receivedRequests.map(({ headers }) => String(headers['request-id']))
		expect(started.filter((id) => id !== 'other').length).toBeLessThanOrEqual(4)
	})
})
