/**
 * One of two model servers falls into trouble: its answers never get beyond interim responses, which it repeats without end.
 * Meanwhile other clients send requests to a sound server of another service.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { send } from '../lib/client.mjs'
import {
	appRoute,
	configuration,
	plainHeaders,
	startBoxes,
	startStore,
	streamHeaders,
	streamRoute,
} from '../lib/deployment.mjs'
import { runCase } from '../lib/record.mjs'
import { Server } from '../lib/servers.mjs'
import { sleep } from '../lib/sleep.mjs'
import { TroubledServer } from '../lib/troubledServer.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const STREAMS = 48
const TIMEOUT_MS = 1_000
/** The rule looks at what is unanswered this much later. */
const LATER_MS = 500
/** The other sentence of the rule speaks of eight or more, so fewer are not judged here. */
const LEAST = 8
const PROBES = 100
const PROBE_GAP_MS = 100

await runCase(FOLDER, 100, async ({ record, work, trouble, onEnd }) => {
	const acks = appRoute({ type: 'idempotent', timeoutMs: TIMEOUT_MS })
	const routes = [acks, streamRoute({ resumable: false, attempts: 1 })]
	const store = await startStore(onEnd, configuration(...routes))
	const zones = ['sala-norte', 'sala-sur']
	const app = new Server({ store, service: 'app', zone: zones[0], record, workMs: () => 20 })
	const stream = { count: 20, gapMs: 50 }
	const sound = new Server({ store, service: 'desk', zone: zones[1], record, stream })
	const troubled = new TroubledServer({
		store,
		service: 'desk',
		zone: zones[0],
		record,
		stream,
		opening: () => '',
		rest: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(4_000),
	})
	for (const server of [app, sound, troubled]) {
		await server.start()
		onEnd(() => server.stop())
	}
	const names = ['edge-1', 'edge-2']
	const [box] = await startBoxes({ names, zones, store, work, onEnd, record })
	// By then the box has been in touch for longer than `ContactMs`.
	await sleep(5_000)
	troubled.isInTrouble = trouble
	record.note(`${STREAMS} clients ask for a stream at once`)
	for (let i = 0; i < STREAMS; i++) {
		const request = { path: '/notes/1', headers: streamHeaders(`stream${i}`, 15_000) }
		void send(box.http, request).ended
	}
	await sleep(500)
	record.note(`${PROBES} requests follow on a route with ${TIMEOUT_MS} ms, to a sound server`)
	let late = 0
	let stillLate = 0
	const probes = []
	for (let i = 0; i < PROBES; i++) {
		probes.push(probe(box, i, record))
		await sleep(PROBE_GAP_MS)
	}
	for (const { isLate, isStillLate, ms, status } of await Promise.all(probes)) {
		late += isLate ? 1 : 0
		stillLate += isStillLate ? 1 : 0
		if (isLate) record.note(`a request ended after ${ms} ms with ${status}`)
	}
	record.note(`bytes sent without end: ${troubled.floodBytes}, in ${troubled.floodCount} answers`)
	record.note(`unanswered at TimeoutMs: ${late}; half a second later: ${stillLate}`)
	return stillLate >= LEAST && stillLate > late / 2
})

/** Sends one request and waits long enough to see when it ends. A closed connection counts as an end. */
async function probe(box, i, record) {
	const sentAt = performance.now()
	const { ended, socket } = send(box.http, {
		path: '/acks/1',
		headers: plainHeaders(`ack${i}`, 4_000),
		body: 'ack',
	})
	setTimeout(() => socket.destroy(), 10_000).unref()
	const answer = await ended
	const ms = Math.round(performance.now() - sentAt)
	const status = answer.head?.status ?? `no answer (${answer.end})`
	if (i % 10 === 0) record.note(`ack${i}: ${status} after ${ms} ms`)
	return { ms, status, isLate: ms > TIMEOUT_MS, isStillLate: ms > TIMEOUT_MS + LATER_MS }
}
