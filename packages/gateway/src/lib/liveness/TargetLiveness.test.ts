import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { TargetEntry } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { freePort } from '../freePort.js'
import { sendToTarget } from '../sendToTarget.js'
import { sleep } from '../sleep.js'
import { TargetPools } from '../TargetPools.js'
import { targetEntryOf } from '../testBox.js'
import { TEST_DIALECT } from '../testDialect.js'
import { TEST_HEALTH_PATH } from '../testTrafficConfig.js'
import { TargetLiveness, isAlive, type LifeSign } from './TargetLiveness.js'

// Guards against targets that count as alive although nothing shows that the process that ran a request still does: a
// connection was accepted, another process answered, or a check was answered before the request ended.

const NAME = 't1'
/** Longest check, in ms. */
const MAX_CHECK_MS = 1_000

function responseOf(status: string, instance?: string): string {
	const named = instance === undefined ? '' : `own-instance: ${instance}\r\n`
	return `HTTP/1.1 ${status}\r\n${named}Content-Length: 0\r\n\r\n`
}

describe('the check whether a target is alive', () => {
	let server: Server
	let target: TargetEntry
	let pools: TargetPools
	let healthPath: string | undefined
	/** What the target does with a check. */
	let handle: (socket: Socket, head: string) => void
	let checks: number
	const sockets: Socket[] = []

	beforeEach(async () => {
		checks = 0
		healthPath = TEST_HEALTH_PATH
		server = createServer((socket) => {
			sockets.push(socket)
			socket.on('error', () => undefined)
			socket.on('data', (bytes) => {
				checks++
				handle(socket, bytes.toString('latin1'))
			})
		})
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
		target = targetEntryOf(NAME, `127.0.0.1:${(server.address() as AddressInfo).port}`, false)
		pools = new TargetPools(
			() => performance.now(),
			() => undefined,
		)
	})
	afterEach(() => {
		pools.close()
		for (const socket of sockets.splice(0)) socket.destroy()
		server.close()
	})

	function createLiveness(): TargetLiveness {
		return new TargetLiveness({
			dialect: TEST_DIALECT,
			call: ({ listener, message, target: called }) =>
				sendToTarget(pools.poolFor(called), message, listener),
			poolFor: (called) => pools.poolFor(called),
			healthPathOf: () => healthPath,
			now: () => performance.now(),
		})
	}

	it.each<[string, LifeSign, (socket: Socket) => void]>([
		['answers with its name', 'answered', (s) => s.write(responseOf('200 OK', NAME))],
		['answers that it is unwell', 'answered', (s) => s.write(responseOf('503 No', NAME))],
		['rejects the check without a name', 'answered', (s) => s.write(responseOf('503 No'))],
		['answers without a name', 'unnamed', (s) => s.write(responseOf('200 OK'))],
		['fails without a name', 'unnamed', (s) => s.write(responseOf('502 No'))],
		['has another name', 'other-target', (s) => s.write(responseOf('200 OK', 't2'))],
		['is not the expected one', 'other-target', (s) => s.write(responseOf('421 No'))],
		['closes the connection', 'no-answer', (s) => s.end()],
		['resets the connection', 'no-answer', (s) => s.resetAndDestroy()],
		['answers nothing', 'no-answer', () => undefined],
	])('shows of a target that %s: %s', async (_name, sign, answer) => {
		handle = answer
		const startedAt = performance.now()
		expect(await createLiveness().check(target)).toBe(sign)
		expect(performance.now() - startedAt).toBeLessThan(MAX_CHECK_MS + 500)
	})

	it('shows that nothing listens at its address', async () => {
		target = targetEntryOf(NAME, `127.0.0.1:${await freePort()}`, false)
		expect(await createLiveness().check(target)).toBe('refused')
	})

	it('is repeated on a new connection if the first one closes', async () => {
		handle = (socket) => {
			if (checks === 1) socket.end()
			else socket.write(responseOf('200 OK', NAME))
		}
		expect(await createLiveness().check(target)).toBe('answered')
	})

	it('asks for the target by its name', async () => {
		let seen = ''
		handle = (socket, head) => {
			seen = head
			socket.write(responseOf('200 OK', NAME))
		}
		await createLiveness().check(target)
		expect(seen).toMatch(/^GET \/healthz HTTP\/1\.1\r\n/)
		expect(seen).toContain(`expected-target: ${NAME}\r\n`)
	})

	it('does not share a check that began before it', async () => {
		let isFirst = true
		handle = (socket) => {
			const response = isFirst ? responseOf('200 OK', NAME) : responseOf('200 OK', 't2')
			isFirst = false
			setTimeout(() => socket.write(response), 50)
		}
		const liveness = createLiveness()
		const first = liveness.check(target)
		await sleep(20)
		const later = [liveness.check(target), liveness.check(target)]
		expect(await first).toBe('answered')
		expect(await Promise.all(later)).toEqual(['other-target', 'other-target'])
		expect(checks).toBe(2)
	})

	it('does not wait for long for a check that hangs', async () => {
		let isFirst = true
		handle = (socket) => {
			if (!isFirst) socket.write(responseOf('200 OK', NAME))
			isFirst = false
		}
		const liveness = createLiveness()
		void liveness.check(target)
		await sleep(20)
		const startedAt = performance.now()
		expect(await liveness.check(target)).toBe('answered')
		expect(performance.now() - startedAt).toBeLessThan(800)
	})

	it('takes no late answer to another request, on a kept connection, for its own', async () => {
		handle = (socket) => {
			if (checks === 1) socket.write(responseOf('200 OK', NAME))
			else if (checks === 2)
				socket.write('HTTP/1.1 200 OK\r\nrequest-id: r1\r\nContent-Length: 0\r\n\r\n')
			else socket.write(responseOf('200 OK', 't2'))
		}
		const liveness = createLiveness()
		expect(await liveness.check(target)).toBe('answered')
		await sleep(50)
		expect(await liveness.check(target)).toBe('other-target')
	})

	it('leaves a kept connection that hangs for a new one', async () => {
		handle = (socket) => {
			if (checks !== 2) socket.write(responseOf('200 OK', NAME))
		}
		const liveness = createLiveness()
		await liveness.check(target)
		await sleep(50)
		expect(await liveness.check(target)).toBe('answered')
		expect(sockets).toHaveLength(2)
	})

	it('goes on while a target resets new connections, within its time', async () => {
		handle = (socket) => {
			if (checks < 6) socket.resetAndDestroy()
			else socket.write(responseOf('200 OK', NAME))
		}
		expect(await createLiveness().check(target)).toBe('answered')
	})

	it('knows the path of a service that is no longer configured', async () => {
		handle = (socket) => socket.write(responseOf('200 OK', 't2'))
		const liveness = createLiveness()
		liveness.noteService(target.service)
		healthPath = undefined
		expect(await liveness.check(target)).toBe('other-target')
	})

	it('takes a connection for a sign of life only where there is no health check', async () => {
		healthPath = undefined
		handle = () => undefined
		const sign = await createLiveness().check(target)
		expect(sign).toBe('connected')
		expect(isAlive(sign)).toBe(true)
		expect(checks).toBe(0)
	})

	it('leaves no pool of a target that is gone', async () => {
		target = targetEntryOf(NAME, `127.0.0.1:${await freePort()}`, false)
		await createLiveness().check(target)
		const pool = pools.poolFor(target)
		await expect.poll(() => pool.size).toBe(0)
		pools.closeExpired()
		expect(pools.poolFor(target)).not.toBe(pool)
	})
})
