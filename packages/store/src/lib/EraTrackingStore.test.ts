import * as E from 'fp-ts/lib/Either.js'
import { describe, expect, it } from 'vitest'
import { EraTrackingStore, type EraChange } from './EraTrackingStore.js'
import type { StoreFault } from './KeyValueStore.js'
import type { EraResponse, StoreConnection } from './StoreConnection.js'

const ITEM = { key: 'a', value: Buffer.from('value'), revision: 7 }
const NO_ANSWER = E.left<StoreFault>({ kind: 'no-answer', cause: 'lost' })

/** Connection whose responses name the era that the test sets; watches wait until the test ends them. */
class FakeConnection implements StoreConnection {
	era: number | undefined = 1
	readonly writes: number[] = []
	endWatch: () => void = () => undefined
	isDown = false

	list = () => this.respond({ items: [ITEM], at: 9 })
	read = () => this.respond(ITEM)
	lease = () => this.respond({ id: 1 })
	ping = () => this.respond(undefined)
	write = (_key: string, _value: Buffer, expected: number) => {
		this.writes.push(expected)
		return this.respond({ kind: 'written', revision: 20 } as const)
	}
	watch = async () => {
		await new Promise<void>((resolve) => (this.endWatch = resolve))
		return this.respond([{ kind: 'written', item: ITEM } as const])
	}

	private respond<T>(value: T): Promise<EraResponse<T>> {
		return Promise.resolve(
			this.isDown
				? { era: undefined, result: NO_ANSWER }
				: { era: this.era, result: E.right(value) },
		)
	}
}

function connect(): {
	connection: FakeConnection
	store: EraTrackingStore
	eras: EraChange[]
	callsWithoutEra: string[]
} {
	const connection = new FakeConnection()
	const eras: EraChange[] = []
	const callsWithoutEra: string[] = []
	const store = new EraTrackingStore(connection, {
		onEraChange: (change) => eras.push(change),
		onMissingEra: (call) => callsWithoutEra.push(call),
	})
	return { connection, store, eras, callsWithoutEra }
}

describe('EraTrackingStore', () => {
	it('gives revisions the era of their response', async () => {
		const { store, eras } = connect()
		expect(await store.list('a')).toMatchObject({ right: { at: { era: 1, number: 9 } } })
		expect(await store.read('a')).toMatchObject({ right: { revision: { era: 1, number: 7 } } })
		expect(eras).toEqual([{ era: 1, previousEra: 0, call: 'list' }])
	})

	it('ends a running watch as soon as any other response names a newer era', async () => {
		const { connection, store } = connect()
		await store.ping()
		const watch = store.watch('a', { era: 1, number: 9 }, 30_000)
		connection.era = 2
		await store.ping()
		expect(await watch).toEqual(E.left({ kind: 'history-gone' }))
		expect(await store.watch('a', { era: 1, number: 9 }, 1)).toEqual(
			E.left({ kind: 'history-gone' }),
		)
	})

	it('rejects changes of a newer era after a revision of a past era', async () => {
		const { connection, store } = connect()
		await store.ping()
		const watch = store.watch('a', { era: 1, number: 6 }, 1_000)
		connection.era = 2
		connection.endWatch()
		expect(await watch).toEqual(E.left({ kind: 'history-gone' }))
	})

	it('rejects responses of a past era', async () => {
		const { connection, store, eras } = connect()
		connection.era = 3
		await store.ping()
		connection.era = 2
		expect(await store.read('a')).toEqual(E.left({ kind: 'past-era' }))
		expect(await store.write('a', ITEM.value, undefined)).toEqual(E.left({ kind: 'past-era' }))
		expect(await store.ping()).toBe(false)
		const watch = store.watch('a', { era: 3, number: 6 }, 1_000)
		connection.endWatch()
		expect(await watch).toEqual(E.left({ kind: 'past-era' }))
		expect(eras).toHaveLength(1)
	})

	it('does not write with an expected revision of a past era', async () => {
		const { connection, store } = connect()
		await store.ping()
		connection.era = 2
		await store.ping()
		const written = await store.write('a', ITEM.value, { era: 1, number: 7 })
		expect(written).toMatchObject({
			right: { kind: 'conflict', current: { revision: { era: 2 } } },
		})
		expect(connection.writes).toEqual([])
	})

	it('reports a conflict for a write that matched a revision number reused in a new era', async () => {
		const { connection, store } = connect()
		await store.ping()
		connection.era = 2
		const written = await store.write('a', ITEM.value, { era: 1, number: 7 })
		expect(connection.writes).toEqual([7])
		expect(written).toMatchObject({
			right: { kind: 'conflict', current: { revision: { era: 2 } } },
		})
	})

	it('treats a response without an era as one of the current era and reports it once', async () => {
		const { connection, store, callsWithoutEra } = connect()
		await store.ping()
		connection.era = undefined
		expect(await store.read('a')).toMatchObject({ right: { revision: { era: 1 } } })
		expect(await store.read('a')).toMatchObject({ right: { revision: { era: 1 } } })
		connection.isDown = true
		expect(await store.read('a')).toEqual(NO_ANSWER)
		expect(callsWithoutEra).toEqual(['read'])
	})
})
