import { createServer, type AddressInfo } from 'node:net'
import { brandId, type AttemptOutcome, type RequestId } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import { AttemptRunner } from './AttemptRunner.js'
import { RunResponse } from './RunResponse.js'

// Guards against a status that is none of HTTP and that a caller gets as an answer.

const LIMITS = { answerBytes: 1_000, firstByteMs: 1_000, idleMs: 1_000 }

describe('AttemptRunner', () => {
	it.each([0, 99, 600, 999])('takes an answer with status %d for a broken one', async (status) => {
		const text = `HTTP/1.1 ${String(status).padStart(3, '0')} OK\r\nContent-Length: 5\r\n\r\nhello`
		const target = createServer((socket) => {
			socket.on('error', () => undefined)
			socket.once('data', () => socket.write(text))
		})
		await new Promise<void>((resolve) => target.listen(0, '127.0.0.1', resolve))
		const { port } = target.address() as AddressInfo
		const id = brandId<RequestId>('account/key')
		const call = { method: 'POST', path: '/', body: Buffer.from('x'), contentType: 'text/plain' }
		const outcome = await new Promise<AttemptOutcome>((resolve) => {
			const runner = new AttemptRunner(LIMITS, (_id, _attempt, ended) => resolve(ended))
			runner.start(
				{
					kind: 'start-attempt',
					runId: id,
					attempt: 1,
					callId: brandId('call-1'),
					target: brandId('t-1'),
					url: `http://127.0.0.1:${port}`,
					resume: false,
					priority: 'ordinary',
					maxOutputTokens: 1,
				},
				call,
				new RunResponse(id, call),
			)
		})
		target.close()
		expect(outcome.kind).toBe('broken')
	})
})
