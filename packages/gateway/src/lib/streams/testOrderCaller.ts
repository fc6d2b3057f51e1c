import { request, type ClientRequest, type IncomingMessage } from 'node:http'
import { sleep } from '../sleep.js'
import type { CallerStream, CallerTry } from './testOrderChecker.js'
import { readPieces, streamLayoutOf } from './testOrderStream.js'

/** A box as callers see it. */
export interface ReachableBox {
	readonly name: string
	readonly port: number
	/** Open requests, which end with the box. */
	readonly open: Set<ClientRequest>
}

/**
 * What a caller does besides reading its stream and taking it up where it breaks off.
 * - `leaves`: disconnects after some pieces, and takes the stream up at once.
 * - `overlaps`: takes it up before it disconnects.
 * - `takes up twice`: after it has left, at two boxes at the same time.
 * - `asks again`: takes up a stream that has ended.
 */
export type CallerHabit = 'reads' | 'leaves' | 'overlaps' | 'takes up twice' | 'asks again'

export interface OrderCallerOptions {
	readonly path: string
	readonly isResumable: boolean
	readonly habit: CallerHabit
	/** Number of pieces after which the habit shows. */
	readonly afterPieces: number
	/** Time for which the caller stops reading in its first attempt, in ms. */
	readonly readPauseMs: number
	/** Time for which the caller waits before it takes up a stream that broke off, in ms. */
	readonly waitMs: number
	/** Chooses the box of an attempt; resolves to undefined if none runs. */
	readonly nextBox: () => Promise<ReachableBox>
}

const MAX_TRIES = 5
const DEADLINE_MS = 9_000
const OVERLAP_MS = 60

/** For tests: requests a stream as a caller does. Returns one stream for each way in which its attempts add up. */
export async function playOrderCaller(
	options: OrderCallerOptions,
): Promise<readonly CallerStream[]> {
	const { habit, isResumable } = options
	const stopsAfter = habit === 'reads' || habit === 'asks again' ? undefined : options.afterPieces
	const first = await openTry(options, [], { stopsAfter, pauseMs: options.readPauseMs })
	const tries = [first]
	if (!isResumable) return [streamOf(options, tries)]
	if (habit === 'takes up twice' && isUnfinished(tries))
		return Promise.all([finish(options, tries), finish(options, tries)])
	const stream = await finish(options, tries)
	if (habit !== 'asks again') return [stream]
	const again = await openTry(options, stream.tries, {})
	return [streamOf(options, [...stream.tries, again])]
}

/** Takes the stream up until it has ended. */
async function finish(
	options: OrderCallerOptions,
	before: readonly CallerTry[],
): Promise<CallerStream> {
	const tries = [...before]
	while (isUnfinished(tries) && tries.length < MAX_TRIES) {
		if (tries.at(-1)?.status !== 200 || tries.length > 1) await sleep(options.waitMs)
		tries.push(await openTry(options, tries, {}))
	}
	return streamOf(options, tries)
}

function isUnfinished(tries: readonly CallerTry[]): boolean {
	const last = tries.at(-1)
	return !(last?.isComplete && last.status === 200)
}

function streamOf(
	{ isResumable, path }: OrderCallerOptions,
	tries: readonly CallerTry[],
): CallerStream {
	return { path, layout: streamLayoutOf(path), isResumable, tries }
}

interface TryOptions {
	readonly stopsAfter?: number | undefined
	readonly pauseMs?: number
}

let nextId = 1

/** Makes an attempt that goes on after the last piece of those before. Resolves when the caller has what it will use. */
async function openTry(
	options: OrderCallerOptions,
	before: readonly CallerTry[],
	{ pauseMs = 0, stopsAfter }: TryOptions,
): Promise<CallerTry> {
	const id = `o${nextId++}`
	const pieces = before.flatMap((one) => one.pieces)
	const lastEventId = pieces.at(-1)?.id
	const began = before.find((one) => one.pieces.length > 0)
	const resumed: Record<string, string> =
		lastEventId === undefined
			? {}
			: { 'last-event-id': String(lastEventId), 'resumed-request': began?.id ?? '' }
	const layout = streamLayoutOf(options.path)
	const box = await options.nextBox()
	const outgoing = request({
		port: box.port,
		path: options.path,
		method: 'POST',
		agent: false,
		headers: {
			host: 'a.example',
			'request-id': id,
			authorization: 'key',
			'deadline-ms': String(DEADLINE_MS),
			...resumed,
		},
	})
	box.open.add(outgoing)
	outgoing.on('close', () => box.open.delete(outgoing))
	return new Promise((resolve) => {
		const end = (status: number, body: string, isComplete: boolean): void =>
			resolve({
				id,
				box: box.name,
				lastEventId,
				status,
				isComplete,
				pieces: status === 200 ? readPieces(layout, body) : [],
			})
		outgoing.on('error', () => end(0, '', false))
		outgoing.on('close', () => end(0, '', false))
		outgoing.on('response', (response) => {
			let body = ''
			const status = response.statusCode ?? 0
			if (pauseMs > 0) pauseReading(response, pauseMs)
			response.on('data', (chunk: Buffer) => {
				body += chunk.toString('latin1')
				if (stopsAfter === undefined || countPieces(body) < stopsAfter) return
				leave(options, outgoing)
				end(status, body, false)
			})
			response.on('error', () => end(status, body, false))
			response.on('close', () => end(status, body, response.complete))
			response.on('end', () => end(status, body, response.complete))
		})
		outgoing.end()
	})
}

function leave({ habit }: OrderCallerOptions, outgoing: ClientRequest): void {
	if (habit === 'overlaps') setTimeout(() => outgoing.destroy(), OVERLAP_MS)
	else outgoing.destroy()
}

function countPieces(body: string): number {
	return body.match(/^data: \d+ \d+/gm)?.length ?? 0
}

function pauseReading(response: IncomingMessage, ms: number): void {
	response.once('data', () => {
		response.pause()
		setTimeout(() => response.resume(), ms)
	})
}
