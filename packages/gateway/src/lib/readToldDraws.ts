import type { IncomingMessage } from 'node:http'
import type { ToldDraws } from './DrawTelling.js'

/** Largest body that is read, in bytes: draws of thousands of accounts. */
const MOST_BYTES = 256 * 1024

/** Reads what another box told of its draws; undefined where the body is something else. */
export async function readToldDraws(message: IncomingMessage): Promise<ToldDraws | undefined> {
	try {
		const chunks: Buffer[] = []
		let bytes = 0
		for await (const chunk of message as AsyncIterable<Buffer>) {
			bytes += chunk.length
			if (bytes > MOST_BYTES) return undefined
			chunks.push(chunk)
		}
		const told = JSON.parse(Buffer.concat(chunks).toString('utf8')) as Partial<ToldDraws> | null
		return told && isToldDraws(told) ? told : undefined
	} catch {
		return undefined
	}
}

function isToldDraws(told: Partial<ToldDraws>): told is ToldDraws {
	const { box, raised, revision } = told
	if (typeof box !== 'string' || typeof raised !== 'object' || raised === null) return false
	const numbers = [revision?.era, revision?.number, ...Object.values<number>(raised)]
	return numbers.every((number) => Number.isFinite(number))
}
