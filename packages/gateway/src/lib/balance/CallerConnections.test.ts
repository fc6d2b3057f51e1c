import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { beforeEach, describe, expect, it } from 'vitest'
import { CallerConnections } from './CallerConnections.js'

class FakeSocket extends EventEmitter {
	bytesRead = 0
	bytesWritten = 0
	writableLength = 0
	isDestroyed = false
	constructor(readonly remoteAddress: string) {
		super()
	}
	destroy(): void {
		this.isDestroyed = true
		this.emit('close')
	}
	get asSocket(): Socket {
		return this as unknown as Socket
	}
}

describe('CallerConnections', () => {
	let now: number
	let callers: CallerConnections
	beforeEach(() => {
		now = 0
		callers = new CallerConnections(() => now)
	})

	/** Opens connections of a caller that have each transferred some bytes. */
	function open(address: string, bytes: readonly number[]): FakeSocket[] {
		return bytes.map((transferred) => {
			const socket = new FakeSocket(address)
			callers.track(socket.asSocket)
			if (transferred > 0) completeRequest(socket, transferred)
			return socket
		})
	}

	function startRequest(socket: FakeSocket, bytes = 0): () => void {
		const response = new EventEmitter()
		socket.bytesRead += bytes
		callers.noteRequest(socket.asSocket, response as ServerResponse)
		return () => response.emit('close')
	}

	function completeRequest(socket: FakeSocket, bytes: number): void {
		startRequest(socket, bytes)()
	}

	function closing(sockets: readonly FakeSocket[]): boolean[] {
		return sockets.map((socket) => callers.shouldClose(socket.asSocket))
	}

	it('marks the busiest connections of the largest callers until they have the share of traffic', () => {
		const small = open('10.0.0.1', [100, 100, 100, 100])
		const large = open('10.0.0.2', [50, 400, 300, 450, 200, 200])
		callers.sample()
		expect(callers.mark(0.4)).toEqual({ connections: 2, callers: 1 })
		expect(closing(large)).toEqual([false, true, false, true, false, false])
		expect(closing(small)).toEqual([false, false, false, false])
		expect(callers.closedCount).toBe(2)
	})

	it('closes at most half of the connections of a caller in one move', () => {
		const large = open('10.0.0.2', [500, 500, 500, 500, 500])
		const small = open('10.0.0.1', [10, 10])
		callers.sample()
		callers.mark(0.9)
		callers.mark(1)
		expect(closing(large).filter(Boolean)).toHaveLength(2)
		expect(closing(small).filter(Boolean)).toHaveLength(1)
	})

	it('counts connections that have closed during the move, and ignores those opened since', () => {
		const sockets = open('10.0.0.2', Array<number>(8).fill(500))
		callers.sample()
		callers.mark(0.25)
		for (const socket of sockets.slice(0, 2)) {
			callers.shouldClose(socket.asSocket)
			socket.destroy()
		}
		open('10.0.0.3', [9_000, 9_000])
		callers.sample()
		callers.mark(1)
		expect(closing(sockets.slice(2)).filter(Boolean)).toHaveLength(2)
		expect(callers.closedCount).toBe(4)
	})

	it('selects no more when the same share is given again, and the difference when it grows', () => {
		open('10.0.0.2', Array<number>(20).fill(100))
		callers.sample()
		expect(callers.mark(0.2).connections).toBe(4)
		expect(callers.mark(0.2).connections).toBe(0)
		expect(callers.mark(0.1).connections).toBe(0)
		expect(callers.mark(0.3).connections).toBe(2)
		callers.endMove()
		expect(callers.mark(0.1).connections).toBe(2)
	})

	it('closes nothing without a move, and nothing that the move has not closed after its end', () => {
		const sockets = open('10.0.0.2', [100, 100])
		callers.sample()
		now = 10_000
		callers.closeIdle()
		callers.mark(0)
		expect(closing(sockets)).toEqual([false, false])
		callers.mark(1)
		callers.endMove()
		callers.closeIdle()
		expect(closing(sockets)).toEqual([false, false])
		expect(sockets.some(({ isDestroyed }) => isDestroyed)).toBe(false)
	})

	it('closes a marked connection without a response only if it is idle for a second', () => {
		const [socket] = open('10.0.0.2', [100])
		callers.sample()
		callers.mark(1)
		now = 999
		callers.closeIdle()
		expect(socket?.isDestroyed).toBe(false)
		now = 1_000
		callers.closeIdle()
		expect(socket?.isDestroyed).toBe(true)
		expect(callers.size).toBe(0)
		expect(callers.closedCount).toBe(1)
	})

	it('never closes a connection with a request under way, or with a part of a head read', () => {
		const sockets = open('10.0.0.1', [500, 500, 500, 500])
		const [underWay, partlyRead] = sockets
		callers.sample()
		callers.mark(0.5)
		if (!underWay || !partlyRead) throw new Error('no sockets')
		const end = startRequest(underWay, 10)
		partlyRead.bytesRead += 20
		now = 60_000
		callers.closeIdle()
		expect(sockets.some(({ isDestroyed }) => isDestroyed)).toBe(false)
		end()
		now += 500
		callers.closeIdle()
		expect(underWay.isDestroyed).toBe(false)
	})

	it('forgets the traffic of some seconds ago', () => {
		const [former] = open('10.0.0.1', [10_000])
		callers.sample()
		for (let i = 0; i < 40; i++) callers.sample()
		const [current] = open('10.0.0.2', [1_000])
		callers.sample()
		callers.mark(0.5)
		if (!former || !current) throw new Error('no sockets')
		expect(closing([former, current])).toEqual([false, true])
	})
})
