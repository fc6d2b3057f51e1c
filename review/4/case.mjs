/**
 * A planned stop (SIGTERM) of the box that passes on some streams. Their servers are sound, send neither a length nor chunks,
 * and are still at work when the process exits. FRAMING=chunked shows the same with servers that send chunks, and
 * SIGNAL=SIGKILL a kill in place of the stop.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { send } from '../lib/client.mjs'
import {
	configuration,
	startBoxes,
	startStore,
	streamHeaders,
	streamRoute,
} from '../lib/deployment.mjs'
import { runCase } from '../lib/record.mjs'
import { Server } from '../lib/servers.mjs'
import { sleep } from '../lib/sleep.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const EVENTS = 120
const GAP_MS = 100
const STREAMS = 6
const FRAMING = process.env.FRAMING ?? 'close'
const SIGNAL = process.env.SIGNAL ?? 'SIGTERM'

await runCase(FOLDER, 100, async ({ record, work, trouble, onEnd }) => {
	const store = await startStore(
		onEnd,
		configuration(streamRoute({ resumable: false, attempts: 1 })),
	)
	const zones = ['sala-norte', 'sala-sur']
	for (const zone of zones) {
		const stream = { count: EVENTS, gapMs: GAP_MS, framing: FRAMING }
		const server = new Server({ store, service: 'desk', zone, record, stream })
		await server.start()
		onEnd(() => server.stop())
	}
	const [box] = await startBoxes({ names: ['edge-1', 'edge-2'], zones, store, work, onEnd, record })
	await sleep(1_000)
	const sent = []
	for (let i = 0; i < STREAMS; i++) {
		const id = `stop${i}${Date.now().toString(16)}`
		record.note(`client sends ${id} to edge-1`)
		const request = { path: '/notes/1', headers: streamHeaders(id), body: 'x'.repeat(1086) }
		sent.push({ id, ...send(box.http, request) })
		await sleep(50)
	}
	await sleep(1_000)
	if (trouble) {
		record.note(`${SIGNAL} to edge-1`)
		const at = performance.now()
		box.signal(SIGNAL)
		void box.exited.then((end) =>
			record.note(`edge-1 exited ${Math.round(end.at - at)} ms later: ${JSON.stringify(end)}`),
		)
	}
	let breaches = 0
	for (const { id, ended } of sent) {
		const answer = await ended
		const { complete } = answer.body
		const { ids, rest } = answer.events
		const head = answer.head
		const framing = head?.headers['transfer-encoding'] ?? 'ends with its connection'
		record.note(
			`client has ${id}: status ${head?.status}, ${framing}; connection ${answer.end}; ` +
				`${ids.length} of ${EVENTS} events, last ${ids.at(-1)}, ${rest.length} bytes after it; ` +
				`${complete ? 'complete by the protocol' : 'not complete'}`,
		)
		if (head?.status !== 200) throw new Error(`${id} was not served`)
		if (complete && rest === '' && ids.length < EVENTS) breaches++
	}
	record.note(`streams that look complete and lack their last events: ${breaches}`)
	return breaches > 0
})
