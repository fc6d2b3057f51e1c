import { EventEmitter } from 'node:events'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { expect, it } from 'vitest'
import { RequestIntake } from './RequestIntake.js'

// Guards against a box that takes the time between two requests for the time that a request takes, and so starts few.

it('starts several requests in a turn after it had little to do', () => {
	const server = new EventEmitter()
	let now = 0
	let turns: (() => void)[] = []
	let started = 0
	new RequestIntake({
		server: server as unknown as Pick<Server, 'on'>,
		probe: { send: () => undefined, take: () => undefined },
		afterTurn: (callback) => turns.push(callback),
		now: () => now,
		currentDelayMs: () => 0,
		maxAcceptWaitMs: () => 125,
		startDelays: { noteEmpty: () => undefined },
		onRequest: (_message, _response, arrivedAt) => ({
			arrivedAt,
			hasEnded: false,
			start: () => started++,
		}),
	})
	const read = (): void => {
		server.emit('request', { socket: {} } as IncomingMessage, {} as ServerResponse)
	}
	const endTurn = (): void => {
		const callbacks = turns
		turns = []
		for (const callback of callbacks) callback()
	}

	for (let i = 0; i < 20; i++) {
		read()
		endTurn()
		now += 500
	}
	started = 0
	for (let i = 0; i < 4; i++) read()
	endTurn()
	expect(started).toBe(4)
})
