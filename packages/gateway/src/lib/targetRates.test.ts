/**
 * What was seen: targets in need named the requests a second that they take from all boxes together, 1.3 and 1.4, and
 * boxes that had passed such answers on sent them 15 and 23 requests in 4 s, where 13 are allowed.
 */
import { afterEach, describe, expect, it } from 'vitest'
import { DIALECT } from './testBox.js'
import { GOOD, NoticeFleet, TARGETS } from './testNoticeFleet.js'

const BOXES = 7
/** Requests a second that a target in need names. */
const RATE = 1.3
const NAMED = { ...GOOD, notice: { [DIALECT.headers.requestRate]: String(RATE) } }
const WINDOW_MS = 4_000
/** What a target in need bears in {@link WINDOW_MS}: half as much again as it names, and five requests. */
const MOST_IN_A_WINDOW = Math.floor(1.5 * RATE * (WINDOW_MS / 1_000) + 5)
/** Time from the first such answer that a box gets until its requests count, in ms. */
const TOLD_MS = 500
const ASKED_MS = 7_000
const ROUTES = ['/once/', '/again/', '/resume/']

/** The most of these times that lie in one window. */
function mostInAWindow(times: readonly number[]): number {
	let most = 0
	let first = 0
	for (let last = 0; last < times.length; last++) {
		while ((times[last] ?? 0) - (times[first] ?? 0) > WINDOW_MS) first++
		most = Math.max(most, last - first + 1)
	}
	return most
}

describe('targets that name the requests a second that they take from all boxes', () => {
	let fleet: NoticeFleet
	afterEach(() => fleet.stop())

	it('get no more of all boxes together, whatever the kind of request', async () => {
		fleet = new NoticeFleet({ t0: NAMED, t1: NAMED }, { boxes: BOXES, areInTouch: true })
		await fleet.start()
		await fleet.ask(ROUTES, ASKED_MS)
		expect(mostInAWindow(fleet.timesAt('t0', TOLD_MS))).toBeLessThanOrEqual(MOST_IN_A_WINDOW)
		expect(mostInAWindow(fleet.timesAt('t1', TOLD_MS))).toBeLessThanOrEqual(MOST_IN_A_WINDOW)
	})

	it('get no more where all of a service name a rate and none is left to take the rest', async () => {
		const all = Array.from({ length: TARGETS }, (_, i) => [`t${i}`, NAMED] as const)
		fleet = new NoticeFleet(Object.fromEntries(all), { boxes: BOXES, areInTouch: true })
		await fleet.start()
		await fleet.ask(ROUTES, ASKED_MS)
		for (const [name] of all)
			expect(mostInAWindow(fleet.timesAt(name, TOLD_MS))).toBeLessThanOrEqual(MOST_IN_A_WINDOW)
	})
})
