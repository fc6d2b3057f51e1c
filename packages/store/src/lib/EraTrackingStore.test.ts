import * as E from 'fp-ts/lib/Either.js'
import { describe, expect, it } from 'vitest'
import { EraTrackingStore, type EraChange } from './EraTrackingStore.js'
import type { StoreFault } from './KeyValueStore.js'
import type { EraResponse, StoreConnection } from './StoreConnection.js'

const ITEM = { key: 'a', value: Buffer.from('value'), revision: 7 }
const NO_ANSWER = E.left<StoreFault>({ kind: 'no-answer', cause: 'lost' })

/** A connection whose answers name an era that the test sets; watches wait until they are let go. */
class Connection implements StoreConnection {
	era: number | undefined = 1
	readonly writes: number[] = []
	endWatch: () => void = () => undefined
	isLost = false

	list = () => this.answer({ items: [ITEM], at: 9 })
	read = () => this.answer(ITEM)
	lease = () => this.answer({ id: 1 })
	ping = () => this.answer(undefined)
	write = (_key: string, _value: Buffer, expected: number) => {
		this.writes.push(expected)
		return this.answer({ kind: 'written', revision: 20 } as const)
	}
	watch = async () => {
		await new Promise<void>((resolve) => (this.endWatch = resolve))
		return this.answer([{ kind: 'written', item: ITEM } as const])
	}

	private answer<T>(value: T): Promise<EraResponse<T>> {
		return Promise.resolve(
			this.isLost
				? { era: undefined, result: NO_ANSWER }
				: { era: this.era, result: E.right(value) },
		)
	}
}

function connect(): {
	connection: Connection
	store: EraTrackingStore
	eras: EraChange[]
	unnamed: string[]
} {
	const connection = new Connection()
	const eras: EraChange[] = []
	const unnamed: string[] = []
	const store = new EraTrackingStore(connection, {
		onEraChange: (change) => eras.push(change),
		onMissingEra: (call) => unnamed.push(call),
	})
	return { connection, store, eras, unnamed }
}

describe('EraStore', () => {
	it('gives revisions the era of the answer that brought them', async () => {
		const { store, eras } = connect()
		expect(await store.list('a')).toMatchObject({ right: { at: { era: 1, number: 9 } } })
		expect(await store.read('a')).toMatchObject({ right: { revision: { era: 1, number: 7 } } })
		expect(eras).toEqual([{ era: 1, before: 0, call: 'list' }])
	})

	it('ends a waiting watch as soon as any other answer names a newer era', async () => {
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

	it('takes no changes of a newer era for those that follow a revision of before', async () => {
		const { connection, store } = connect()
		await store.ping()
		const watch = store.watch('a', { era: 1, number: 6 }, 1_000)
		connection.era = 2
		connection.endWatch()
		expect(await watch).toEqual(E.left({ kind: 'history-gone' }))
	})

	it('believes no answer of an era that is over', async () => {
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

	it('writes nothing under a revision of an era that is over', async () => {
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

	it('counts a write as none of its own that hit a revision which was given out again', async () => {
		const { connection, store } = connect()
		await store.ping()
		connection.era = 2
		const written = await store.write('a', ITEM.value, { era: 1, number: 7 })
		expect(connection.writes).toEqual([7])
		expect(written).toMatchObject({
			right: { kind: 'conflict', current: { revision: { era: 2 } } },
		})
	})

	it('takes an answer that names no era for one of the era that it knows, and tells once', async () => {
		const { connection, store, unnamed } = connect()
		await store.ping()
		connection.era = undefined
		expect(await store.read('a')).toMatchObject({ right: { revision: { era: 1 } } })
		expect(await store.read('a')).toMatchObject({ right: { revision: { era: 1 } } })
		connection.isLost = true
		expect(await store.read('a')).toEqual(NO_ANSWER)
		expect(unnamed).toEqual(['read'])
	})
})
