import { describe, expect, it } from 'vitest'
import { SmallChunkLimiter } from './SmallChunkLimiter.js'
import { SmallChunkMeter } from './SmallChunkMeter.js'

// Guards against senders of tiny chunks that take all processor time, and against usual senders that wait because of them.

const SECOND_MS = 1_000

describe('SmallChunkMeter', () => {
	function setUp(cores = 1) {
		const clock = { now: 0 }
		const limiter = new SmallChunkLimiter(cores, () => clock.now)
		return { clock, limiter, meter: new SmallChunkMeter(limiter) }
	}

	/** Sends chunks for a second, as far as the meters allow. Returns how many were sent. */
	function sendForASecond(senders: number, cores: number, chunksPerRead: number): number {
		const { clock, limiter } = setUp(cores)
		const meters = Array.from({ length: senders }, () => new SmallChunkMeter(limiter))
		const readableAt = meters.map(() => 0)
		let sent = 0
		for (; clock.now < SECOND_MS; clock.now++) {
			for (const [i, meter] of meters.entries()) {
				if ((readableAt[i] ?? 0) > clock.now) continue
				sent += chunksPerRead
				readableAt[i] = clock.now + meter.count(chunksPerRead, chunksPerRead)
			}
		}
		return sent
	}

	it.each([
		[1, 1],
		[24, 1],
		[300, 0.25],
	])('bounds the chunks that %i senders bring a box with %f cores', (senders, cores) => {
		const chunksPerRead = 10_000
		// Each sender has one read before it can be stopped.
		const firstReads = senders * chunksPerRead
		const sent = sendForASecond(senders, cores, chunksPerRead)
		expect(sent).toBeLessThanOrEqual(firstReads + 120_000 * cores)
	})

	it('does not delay a stream of usual events, whatever others send', () => {
		const { clock, limiter, meter } = setUp()
		for (; clock.now < 10 * SECOND_MS; clock.now++) {
			limiter.count(5_000)
			expect(meter.count(1, 60)).toBe(0)
		}
	})

	it('does not delay large chunks', () => {
		const { limiter, meter } = setUp()
		limiter.count(1_000_000)
		for (let i = 0; i < 10_000; i++) expect(meter.count(1, 1_400)).toBe(0)
	})
})
