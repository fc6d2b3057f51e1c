import type { LogEvent } from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import { beforeEach, describe, expect, it } from 'vitest'
import { UnknownHeaders } from './UnknownHeaders.js'
import { TEST_DIALECT, targetEntryOf } from './testBox.js'

const TARGET = targetEntryOf('t', 'unused:1')

describe('NewHeaders', () => {
	let logged: LogEvent[]
	let headers: UnknownHeaders
	beforeEach(() => {
		logged = []
		const dialect = { ...TEST_DIALECT, headers: { ...TEST_DIALECT.headers, mark: 'own-mark' } }
		const log = (event: LogEvent) => logged.push(event)
		headers = new UnknownHeaders({ dialect, metrics: new Metrics(), log })
	})

	function note(names: Record<string, string>): void {
		headers.inspect({ status: 200, headers: names, rawHeaders: [] }, TARGET)
	}

	it('tells of a header of the platform that is not known, once', () => {
		for (let i = 0; i < 3; i++) note({ 'own-word': '7', 'content-type': 'text/plain' })
		expect(logged.map(({ name }) => name)).toEqual(['target-header-unknown'])
		const facts = { header: 'own-word', value: '7', target: 't', service: 'service' }
		expect(logged[0]?.fields).toEqual(facts)
	})

	it("tells nothing of headers that are read, that need not be, or that are not the platform's", () => {
		note({ 'own-mark': 'x', 'own-instance': 'i', 'request-id': 'r', date: 'd' })
		expect(logged).toEqual([])
	})

	it('is bounded in names and characters', () => {
		for (let i = 0; i < 200; i++) note({ [`own-${i}-${'x'.repeat(500)}`]: 'y'.repeat(500) })
		expect(logged).toHaveLength(50)
		for (const { fields } of logged)
			for (const text of Object.values(fields)) expect(String(text).length).toBeLessThan(100)
	})
})
