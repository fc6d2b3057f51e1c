import { brandId, type AccountName, type BoxName, type ZoneName } from '@stallwing/core'
import { MemoryStore, type CallFate } from '@stallwing/standins'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { FleetMembership } from './FleetMembership.js'
import { sleep } from './sleep.js'

const ACCOUNT = brandId<AccountName>('acme')

describe('FleetRoster', () => {
	let fate: CallFate
	let store: MemoryStore
	let rosters: FleetMembership[]

	beforeEach(() => {
		vi.useFakeTimers()
		fate = 'served'
		store = new MemoryStore({ now: () => Date.now(), sleep, fate: () => fate })
		rosters = []
	})

	afterEach(() => {
		for (const roster of rosters) roster.stop()
		vi.useRealTimers()
	})

	function start(zone: number, box: number, cores = 1): FleetMembership {
		const roster = new FleetMembership({
			store: store.connect(`${zone}-${box}`),
			prefix: 'box/',
			listPrefix: 'box',
			onListed: () => undefined,
			self: {
				box: brandId<BoxName>(`box-${zone}-${box}`),
				zone: brandId<ZoneName>(`zone-${zone}`),
				address: `10.${zone}.0.${box}:1`,
				cores,
			},
			sleep,
			random: () => 0.5,
			log: () => undefined,
		})
		rosters.push(roster)
		void roster.run()
		return roster
	}

	it('lets all boxes that start together know each other before they are listed', async () => {
		for (let zone = 0; zone < 2; zone++) for (let box = 0; box < 10; box++) start(zone, box)
		await vi.advanceTimersByTimeAsync(1_000)
		expect(rosters.map((roster) => roster.size)).toEqual(rosters.map(() => 20))
		expect(rosters.filter((roster) => roster.isLender)).toHaveLength(4)
		const firsts = rosters
			.slice(0, 10)
			.filter((roster) => !roster.isLender)
			.map((roster) => roster.lenderAddresses(ACCOUNT)[0])
		expect(new Set(firsts).size).toBe(1)
	})

	it('lets the largest boxes of a zone draw', async () => {
		for (let box = 0; box < 10; box++) start(0, box, box === 3 || box === 7 ? 1.35 : 0.324)
		await vi.advanceTimersByTimeAsync(1_000)
		expect(rosters.map((roster) => roster.isLender)).toEqual(
			rosters.map((_, box) => box === 3 || box === 7),
		)
	})

	it('keeps its place through a new start, without another write', async () => {
		start(0, 0)
		await vi.advanceTimersByTimeAsync(1_000)
		const writes = store.calls.get('write')
		const again = start(0, 0)
		await vi.advanceTimersByTimeAsync(100)
		expect(again.isFleetKnown).toBe(true)
		expect(store.calls.get('write')).toBe(writes)
	})

	it('hears of a box that comes later, and divides by 16 until it knows any', async () => {
		const first = start(0, 0)
		expect(first.size).toBe(16)
		await vi.advanceTimersByTimeAsync(1_000)
		expect(first.size).toBe(1)
		start(0, 1)
		await vi.advanceTimersByTimeAsync(10_000)
		expect(first.size).toBe(2)
		expect(first.workPeers).toEqual(['10.0.0.1:1'])
	})

	it('joins as soon as the store answers', async () => {
		fate = 'refused'
		const roster = start(0, 0)
		await vi.advanceTimersByTimeAsync(5_000)
		expect(roster.isFleetKnown).toBe(false)
		fate = 'served'
		await vi.advanceTimersByTimeAsync(1_500)
		expect(roster.isFleetKnown).toBe(true)
	})

	it('tells its work to one box of its zone in a large fleet, and as a lender to all lenders', async () => {
		for (let zone = 0; zone < 2; zone++) for (let box = 0; box < 10; box++) start(zone, box)
		await vi.advanceTimersByTimeAsync(1_000)
		for (const roster of rosters) expect(roster.workPeers).toHaveLength(roster.isLender ? 3 : 1)
	})

	it('is known again soon after the store came back without it, and forgets no other box', async () => {
		start(0, 0)
		await vi.advanceTimersByTimeAsync(3_000)
		const copy = store.copy()
		start(0, 1)
		start(0, 2)
		await vi.advanceTimersByTimeAsync(10_000)
		store.restore(copy)
		for (let ms = 0; ms < 10_000; ms += 100) {
			await vi.advanceTimersByTimeAsync(100)
			expect(rosters.map((roster) => roster.size)).toEqual([3, 3, 3])
		}
		const late = start(0, 3)
		await vi.advanceTimersByTimeAsync(1_000)
		expect(late.size).toBe(4)
	})
})
