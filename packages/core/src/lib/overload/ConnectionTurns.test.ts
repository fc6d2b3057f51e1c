import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ConnectionTurns } from './ConnectionTurns.js'

// Guards against a connection with many requests ahead that delays the requests of all other connections.

const MAX_RUNNING = 2

function startAll(turns: ConnectionTurns<string, string>): string[] {
	const started: string[] = []
	for (let next = turns.next; next !== undefined; next = turns.next) {
		started.push(next)
		turns.start()
	}
	return started
}

describe('ConnectionTurns', () => {
	it('starts the requests of connections with one each in the order of arrival', () => {
		const turns = new ConnectionTurns<string, string>(MAX_RUNNING)
		for (const connection of ['a', 'b', 'c']) turns.add(connection, `${connection}1`)
		expect(startAll(turns)).toEqual(['a1', 'b1', 'c1'])
	})

	it('gives each connection a turn before one of them has its second', () => {
		const turns = new ConnectionTurns<string, string>(MAX_RUNNING)
		for (let i = 1; i <= 100; i++) turns.add('a', `a${i}`)
		turns.add('b', 'b1')
		expect(startAll(turns)).toEqual(['a1', 'b1', 'a2'])
		expect(turns.size).toBe(98)
	})

	it('starts a waiting request once one of its connection has ended', () => {
		const turns = new ConnectionTurns<string, string>(MAX_RUNNING)
		for (let i = 1; i <= 4; i++) turns.add('a', `a${i}`)
		expect(startAll(turns)).toEqual(['a1', 'a2'])
		turns.noteEnded('a')
		expect(startAll(turns)).toEqual(['a3'])
	})

	it('starts every request once and in the order of its connection, and never too many', () => {
		const steps = fc.array(fc.tuple(fc.constantFrom('add', 'start', 'end'), fc.nat(3)))
		fc.assert(
			fc.property(steps, (played) => {
				const turns = new ConnectionTurns<number, number>(MAX_RUNNING)
				const running = new Map<number, number>()
				const lastStarted = new Map<number, number>()
				let added = 0
				let started = 0
				const owner: number[] = []
				for (const [step, connection] of played) {
					if (step === 'add') {
						owner[added] = connection
						turns.add(connection, added++)
					}
					if (step === 'end' && (running.get(connection) ?? 0) > 0) {
						running.set(connection, (running.get(connection) ?? 0) - 1)
						turns.noteEnded(connection)
					}
					const { next } = turns
					if (step !== 'start' || next === undefined) continue
					turns.start()
					started++
					const of = owner[next] ?? -1
					running.set(of, (running.get(of) ?? 0) + 1)
					expect(running.get(of)).toBeLessThanOrEqual(MAX_RUNNING)
					expect(next).toBeGreaterThan(lastStarted.get(of) ?? -1)
					lastStarted.set(of, next)
				}
				expect(turns.size).toBe(added - started)
			}),
		)
	})
})
