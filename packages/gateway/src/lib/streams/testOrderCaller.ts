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
	const stopsAfter = habit === 'reads' || habit === 'asks again' ? Infinity : options.afterPieces
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
	/** Number of pieces after which the caller leaves. */
	readonly stopsAfter?: number
	/** Time for which it stops reading, in ms. */
	readonly pauseMs?: number
}

let nextId = 1

/** Makes an attempt that goes on after the last piece of those before. Resolves when the caller has what it will use. */
async function openTry(
	options: OrderCallerOptions,
	before: readonly CallerTry[],
	tryOptions: TryOptions,
): Promise<CallerTry> {
	const id = `o${nextId++}`
	const lastEventId = before.flatMap(({ pieces }) => pieces).at(-1)?.id
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
			...takeUpHeaders(before, lastEventId),
		},
	})
	box.open.add(outgoing)
	outgoing.on('close', () => box.open.delete(outgoing))
	const { body, isComplete, status } = await receive(options, outgoing, tryOptions)
	const pieces = status === 200 ? readPieces(streamLayoutOf(options.path), body) : []
	return { id, box: box.name, lastEventId, status, isComplete, pieces }
}

function takeUpHeaders(
	before: readonly CallerTry[],
	lastEventId: number | undefined,
): Readonly<Record<string, string>> {
	const began = before.find(({ pieces }) => pieces.length > 0)
	if (!began || lastEventId === undefined) return {}
	return { 'last-event-id': String(lastEventId), 'resumed-request': began.id }
}

interface ReceivedAnswer {
	/** 0 if no answer began. */
	readonly status: number
	readonly body: string
	readonly isComplete: boolean
}

/** Sends a request. Resolves to what arrived until the end of the answer, or until the caller leaves. */
function receive(
	options: OrderCallerOptions,
	outgoing: ClientRequest,
	{ pauseMs = 0, stopsAfter = Infinity }: TryOptions,
): Promise<ReceivedAnswer> {
	return new Promise((resolve) => {
		let hasAnswer = false
		// The request closes before its answer reports that it was broken off.
		const endUnanswered = (): void => {
			if (!hasAnswer) resolve({ status: 0, body: '', isComplete: false })
		}
		outgoing.on('error', endUnanswered)
		outgoing.on('close', endUnanswered)
		outgoing.on('response', (response) => {
			hasAnswer = true
			let body = ''
			const status = response.statusCode ?? 0
			if (pauseMs > 0) pauseReading(response, pauseMs)
			response.on('data', (chunk: Buffer) => {
				body += chunk.toString('latin1')
				if (countPieces(body) < stopsAfter) return
				leave(options, outgoing)
				resolve({ status, body, isComplete: false })
			})
			response.on('error', () => resolve({ status, body, isComplete: false }))
			response.on('close', () => resolve({ status, body, isComplete: response.complete }))
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
