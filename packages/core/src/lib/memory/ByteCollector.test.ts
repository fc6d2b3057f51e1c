import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ByteCollector } from './ByteCollector.js'

// Guards against a heap that fills with the objects of tiny chunks: a process ended while it collected messages of few bytes.

/** Smallest mean size of a buffer, in bytes, so that buffer objects take a small part of what they hold. */
const MIN_MEAN_BUFFER_BYTES = 2_048

function collect(chunks: readonly Buffer[]): ByteCollector {
	const collector = new ByteCollector()
	for (const chunk of chunks) collector.add(chunk)
	return collector
}

const anyChunks = fc.array(
	fc.oneof(
		fc.constantFrom(0, 1, 2, 3, 16, 200, 1_400, 4_095, 4_096, 65_536),
		fc.nat({ max: 70_000 }),
	),
	{ maxLength: 200 },
)

describe('ByteCollector', () => {
	it('returns the bytes of all chunks in order', () => {
		fc.assert(
			fc.property(anyChunks, (sizes) => {
				const chunks = sizes.map((size, i) => Buffer.alloc(size, i % 251))
				const expected = Buffer.concat(chunks)
				const collector = collect(chunks)
				expect(collector.length).toBe(expected.length)
				expect(Buffer.concat(collector.buffers).equals(expected)).toBe(true)
				expect(collector.concat().equals(expected)).toBe(true)
			}),
			{ seed: 2, numRuns: 60 },
		)
	})

	it('takes memory by the size of a message, whatever the sizes of its chunks', () => {
		fc.assert(
			fc.property(anyChunks, fc.integer({ min: 1, max: 20 }), (sizes, repeats) => {
				const chunks = Array.from({ length: repeats }, () => sizes).flatMap((list) =>
					list.map((size) => Buffer.alloc(size)),
				)
				const collector = collect(chunks)
				expect(collector.heldBytes).toBeLessThanOrEqual(2 * collector.length + 4_096)
				const maxBuffers = 2 + collector.length / MIN_MEAN_BUFFER_BYTES
				expect(collector.buffers.length).toBeLessThanOrEqual(maxBuffers)
			}),
			{ seed: 3, numRuns: 60 },
		)
	})

	it('keeps a message of one chunk without a copy', () => {
		const chunk = Buffer.from('one')
		expect(collect([chunk]).concat()).toBe(chunk)
	})
})
