import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LogEvent } from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import { describe, expect, it } from 'vitest'
import type { CallerRequest } from '../CallerRequest.js'
import type { GatewayOptions } from '../GatewayOptions.js'
import { TEST_DIALECT } from '../testDialect.js'
import { BoxMemory, createBoxMemory } from './BoxMemory.js'
import type { CollectedAnswer } from './ExchangeMemory.js'

const MEMORY_BYTES = 250_000_000

function optionsOf(isUnderPressure: boolean, memoryBytes: number | undefined): GatewayOptions {
	const events: LogEvent[] = []
	return {
		now: () => 0,
		log: (event: LogEvent) => void events.push(event),
		metrics: new Metrics(),
		dialect: TEST_DIALECT,
		isUnderPressure,
		capacity: { cores: 1, memoryBytes, linkBytesPerSecond: undefined },
	} as unknown as GatewayOptions
}

function messageOf(): IncomingMessage {
	return { url: '/x', rawHeaders: [], headers: {} } as unknown as IncomingMessage
}

function responseOf(): ServerResponse {
	return new EventEmitter() as ServerResponse
}

function answerOf(bytes: number, statedBytes: number): CollectedAnswer {
	return { receivedBytes: bytes, heldBytes: bytes, statedBytes }
}

describe('createBoxMemory', () => {
	it.each([false, true])(
		'counts if the deployment states a limit, under pressure %s',
		(pressure) => {
			expect(createBoxMemory(optionsOf(pressure, undefined))).toBe(undefined)
			expect(createBoxMemory(optionsOf(pressure, MEMORY_BYTES))).toBeInstanceOf(BoxMemory)
		},
	)
})

describe('BoxMemory', () => {
	it('releases all that an exchange held, whether the caller leaves before or after the attempt ends', () => {
		const box = new BoxMemory(optionsOf(true, MEMORY_BYTES), MEMORY_BYTES)
		for (const leavesFirst of [true, false]) {
			const response = responseOf()
			const memory = box.open(messageOf(), response)
			memory.holdBody(1_000)
			memory.beginAttempt()
			expect(box.status().heldBytes).toMatchObject({ bodies: 0, retries: 1_000 })
			memory.collect(answerOf(500, 0), () => undefined)
			if (leavesFirst) response.emit('close')
			expect(box.status().heldBytes.retries).toBe(1_000)
			memory.endAttempt(false)
			if (!leavesFirst) response.emit('close')
			expect(box.status()).toMatchObject({
				exchanges: 0,
				heldBytes: { heads: 0, bodies: 0, retries: 0, answers: 0 },
			})
		}
	})

	it('ends answers once too many wait, and resumes those that wait when others are released', () => {
		const box = new BoxMemory(optionsOf(true, MEMORY_BYTES), MEMORY_BYTES)
		const resumed: number[] = []
		const exchanges = Array.from({ length: 500 }, (_, index) => {
			const response = responseOf()
			const memory = box.open(messageOf(), response)
			memory.beginAttempt()
			const step = memory.collect(answerOf(0, 16_000_000), () => void resumed.push(index))
			return { response, step }
		})
		const steps = exchanges.map(({ step }) => step)
		expect(steps.slice(0, 3)).toEqual(['read', 'read', 'read'])
		const waiting = steps.filter((step) => step === 'wait').length
		expect(waiting).toBeGreaterThan(50)
		expect(steps.filter((step) => step === 'end').length).toBeGreaterThan(300)
		expect(box.status()).toMatchObject({ paused: waiting })
		exchanges[0]?.response.emit('close')
		exchanges[1]?.response.emit('close')
		expect(resumed.length).toBeGreaterThan(0)
		for (const { response } of exchanges) response.emit('close')
		expect(box.status().heldBytes.answers).toBe(0)
		expect(box.status().paused).toBe(0)
	})

	it('lets an answer end that has all its bytes, although others wait for memory', () => {
		const box = new BoxMemory(optionsOf(true, MEMORY_BYTES), MEMORY_BYTES)
		const length = 6_000_000
		const open = () => {
			const memory = box.open(messageOf(), responseOf())
			memory.beginAttempt()
			return { memory, step: memory.collect(answerOf(0, length), () => undefined) }
		}
		const answers = Array.from({ length: 20 }, open)
		expect(answers.some(({ step }) => step === 'wait')).toBe(true)
		const reading = answers.filter(({ step }) => step === 'read')
		expect(reading.length).toBeGreaterThan(2)
		const steps = reading.map(({ memory }) =>
			memory.collect(answerOf(length, length), () => undefined),
		)
		expect(new Set(steps)).toEqual(new Set(['read']))
	})

	it('refuses by rank with a reason, and names the level in a metric', () => {
		const options = optionsOf(true, MEMORY_BYTES)
		const box = new BoxMemory(options, MEMORY_BYTES)
		const request = { rank: 2 } as CallerRequest
		expect(box.check(request, 1_000)).toBe(undefined)
		box.open(messageOf(), responseOf()).holdBody(box.status().bufferLimitBytes * 0.9)
		expect(box.check(request, 1_000)).toMatchObject({ kind: 'overloaded', availableInMs: 0 })
		expect(box.check({ ...request, rank: 0 }, 1_000)).toBe(undefined)
		expect(options.metrics.render({})).toContain('stallwing_memory_refusals_total{level="full"} 1')
	})
})
