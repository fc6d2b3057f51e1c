import { expect, it } from 'vitest'
import { TestTargetFleet } from './testTargetFleet.js'

// Guards against a length or chunks for plain answers that have none: they would claim that an answer is whole which a target
// that lives has broken off in order.

it.concurrent.each([
	['directly', false],
	['through another box', true],
])(
	'a plain answer that a living target breaks off is passed on without framing, %s',
	async (_way, isForwarded) => {
		const fleet = new TestTargetFleet('it breaks its answers off and lives', isForwarded)
		const results = await fleet.play(['/once/x', '/again/x']).finally(() => fleet.stop())
		const short = results.filter(({ outcome }) => outcome === 'short')
		expect(short.length).toBeGreaterThan(0)
		expect(short.filter(({ isFramed }) => isFramed)).toEqual([])
	},
)
