import { spawn, type ChildProcess } from 'node:child_process'
import { createServer, request, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'

// Guards against streams that end, or run twice, because the process of their box was stopped for some time.

const PROCESS = new URL('../../../dist/lib/memory/testBoxProcess.js', import.meta.url).pathname
const BOX_COUNT = 2
const TARGET_COUNT = 3
const EVENTS_PER_STREAM = 50
const EVENT_INTERVAL_MS = 50
const STREAMS = 60
const STREAM_INTERVAL_MS = 80
/** Longer than any time-out for silence, in ms. */
const PAUSE_MS = 1_600
const PAUSE_COUNT = 3
const EVENT_PATTERN = /^id: (\d+)\n/gm

interface BoxProcess {
	readonly child: ChildProcess
	readonly port: number
}

describe('box processes that are stopped and continued by signals', { timeout: 60_000 }, () => {
	let targets: readonly Server[] = []
	let boxes: readonly BoxProcess[] = []
	const runs: string[] = []

	beforeEach(async () => {
		targets = await Promise.all(Array.from({ length: TARGET_COUNT }, () => startTarget(runs)))
		const addresses = targets.map((server) => (server.address() as AddressInfo).port)
		boxes = await Promise.all(Array.from({ length: BOX_COUNT }, () => startBox(addresses)))
	})

	afterEach(() => {
		for (const { child } of boxes) child.kill('SIGKILL')
		for (const server of targets) {
			server.closeAllConnections()
			server.close()
		}
	})

	it('forward each stream as a whole from one target', async () => {
		const streams: Promise<readonly number[]>[] = []
		const pausing = pauseInTurn(boxes)
		for (let i = 0; i < STREAMS; i++) {
			const box = boxes[i % BOX_COUNT]
			if (box) streams.push(readStream(box.port, `r${i}`))
			await sleep(STREAM_INTERVAL_MS)
		}
		await pausing
		const received = await Promise.all(streams)
		const all = Array.from({ length: EVENTS_PER_STREAM }, (_, i) => i + 1)
		expect(received.filter((ids) => ids.join() !== all.join())).toEqual([])
		expect(runs).toHaveLength(STREAMS)
	})
})

async function pauseInTurn(boxes: readonly BoxProcess[]): Promise<void> {
	for (let i = 0; i < PAUSE_COUNT; i++) {
		await sleep(PAUSE_MS / 2)
		const child = boxes[i % boxes.length]?.child
		child?.kill('SIGSTOP')
		await sleep(PAUSE_MS)
		child?.kill('SIGCONT')
	}
}

function startBox(targetPorts: readonly number[]): Promise<BoxProcess> {
	const addresses = targetPorts.map((port) => `127.0.0.1:${port}`)
	const child = spawn(process.execPath, [PROCESS, '0', '1000', ...addresses], {
		stdio: ['ignore', 'pipe', 'inherit'],
	})
	return new Promise((resolve) => {
		child.stdout.on('data', (chunk: Buffer) => {
			for (const line of chunk.toString().split('\n').filter(Boolean)) {
				const message = JSON.parse(line) as Partial<BoxProcess>
				if (message.port !== undefined) resolve({ child, port: message.port })
			}
		})
	})
}

async function startTarget(runs: string[]): Promise<Server> {
	const server = createServer((message, response) => {
		message.resume()
		const id = String(message.headers['request-id'])
		runs.push(id)
		response.setHeader('request-id', id)
		response.setHeader('target-mark', 't')
		response.writeHead(200, { 'Content-Type': 'text/event-stream' })
		void writeEvents(response, Number(message.headers['last-event-id'] ?? 0))
	})
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	return server
}

async function writeEvents(response: ServerResponse, after: number): Promise<void> {
	for (let id = after + 1; id <= EVENTS_PER_STREAM && !response.destroyed; id++) {
		response.write(`id: ${id}\ndata: x\n\n`)
		await sleep(EVENT_INTERVAL_MS)
	}
	response.end()
}

/** Ids of the events of a stream, in order; empty if its answer is not complete. */
function readStream(port: number, id: string): Promise<readonly number[]> {
	const headers = { host: 'a.example', 'request-id': id, authorization: 'key' }
	return new Promise((resolve) => {
		const outgoing = request({ port, path: '/resume/x', method: 'POST', headers }, (response) => {
			let body = ''
			response.on('data', (chunk: Buffer) => (body += chunk.toString()))
			response.on('error', () => resolve([]))
			response.on('end', () => {
				const ids = [...body.matchAll(EVENT_PATTERN)].map(([, text]) => Number(text))
				resolve(response.complete ? ids : [])
			})
		})
		outgoing.on('error', () => resolve([]))
		outgoing.end()
	})
}
