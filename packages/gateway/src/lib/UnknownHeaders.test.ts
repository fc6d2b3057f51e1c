import type { LogEvent } from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import { beforeEach, describe, expect, it } from 'vitest'
import { UnknownHeaders } from './UnknownHeaders.js'
import { targetEntryOf } from './testBox.js'
import { TEST_DIALECT } from './testDialect.js'

const TARGET = targetEntryOf('t', 'unused:1')

describe('UnknownHeaders', () => {
	let logEvents: LogEvent[]
	let headers: UnknownHeaders
	beforeEach(() => {
		logEvents = []
		const dialect = { ...TEST_DIALECT, headers: { ...TEST_DIALECT.headers, signature: 'own-mark' } }
		const log = (event: LogEvent) => logEvents.push(event)
		headers = new UnknownHeaders({ dialect, metrics: new Metrics(), log })
	})

	function inspect(names: Record<string, string>): void {
		headers.inspect({ status: 200, headers: names, rawHeaders: [] }, TARGET)
	}

	it('logs an unknown platform header once', () => {
		for (let i = 0; i < 3; i++) inspect({ 'own-word': '7', 'content-type': 'text/plain' })
		expect(logEvents.map(({ name }) => name)).toEqual(['target-header-unknown'])
		const facts = { header: 'own-word', value: '7', target: 't', service: 'service' }
		expect(logEvents[0]?.fields).toEqual(facts)
	})

	it('logs no header that is known, ignored, or not one of the platform', () => {
		inspect({ 'own-mark': 'x', 'own-instance': 'i', 'request-id': 'r', date: 'd' })
		expect(logEvents).toEqual([])
	})

	it('limits the number of names and the length of log events', () => {
		for (let i = 0; i < 200; i++) inspect({ [`own-${i}-${'x'.repeat(500)}`]: 'y'.repeat(500) })
		expect(logEvents).toHaveLength(50)
		for (const { fields } of logEvents)
			for (const text of Object.values(fields)) expect(String(text).length).toBeLessThan(100)
	})
})
