import { createServer, type AddressInfo, type Server } from 'node:net'
import { ownLoopbackHost } from '@stallwing/standins'
import { afterEach, describe, expect, it } from 'vitest'
import { TestBox } from '../testBox.js'

// Guards against callers that get bytes as an answer that are no answer of HTTP/1.

/** Stands for the id of the request, which answers repeat. */
const ID = '{id}'
const FIELDS = `request-id: ${ID}\r\ntarget-mark: bad\r\nContent-Length: 5\r\n`
const BODY = '\r\nhello'

function answerOf(statusLine: string, field = ''): string {
	return `${statusLine}\r\n${FIELDS}${field}${BODY}`
}

const NO_ANSWERS: readonly (readonly [string, string])[] = [
	['status 000', answerOf('HTTP/1.1 000 OK')],
	['status 999', answerOf('HTTP/1.1 999 OK')],
	['another protocol', answerOf('RTSP/1.0 200 OK')],
	['a blank in a name', answerOf('HTTP/1.1 200 OK', 'Bad Name: x\r\n')],
]

describe('an answer that is none of HTTP/1', () => {
	let box: TestBox
	let target: Server
	afterEach(async () => {
		await box.stop()
		target.close()
	})

	/** Starts a box with a target that answers with `answer`, and one more target that serves, if wanted. */
	async function start(answer: string, hasGoodTarget: boolean): Promise<void> {
		box = new TestBox('box')
		box.configure()
		target = createServer((socket) => {
			socket.on('error', () => undefined)
			socket.on('data', (bytes) => {
				const id = /request-id: (.*)\r\n/i.exec(bytes.toString())?.[1] ?? ''
				socket.write(Buffer.from(answer.replaceAll(ID, id), 'latin1'))
			})
		})
		const host = ownLoopbackHost()
		await new Promise<void>((resolve) => target.listen(0, host, resolve))
		box.listTarget('bad', `${host}:${(target.address() as AddressInfo).port}`, false)
		if (hasGoodTarget) await box.addTarget('good', (_message, response) => response.end('served'))
		await box.start()
		await box.waitUntilReady()
	}

	it.each(NO_ANSWERS)('does not reach the caller: %s', async (_name, answer) => {
		await start(answer, false)
		const { body, status } = await box.sendRequest('/once/x')
		expect(status).toBe(502)
		expect(body).not.toContain('hello')
		expect(body).not.toContain('internal fault')
	})

	it.each(NO_ANSWERS)('is replaced on a route that may be repeated: %s', async (_name, answer) => {
		await start(answer, true)
		for (let i = 0; i < 4; i++) {
			const { body, status } = await box.sendRequest('/again/x', { id: `r-${i}` })
			expect([status, body]).toEqual([200, 'served'])
		}
	})
})
