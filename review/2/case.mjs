/**
 * One of two model servers falls into trouble: it answers with a body of tiny chunks without end. Meanwhile other clients
 * have requests at work at a sound server of another service.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { send } from '../lib/client.mjs'
import {
	appRoute,
	configuration,
	startBoxes,
	startStore,
	streamHeaders,
	streamRoute,
} from '../lib/deployment.mjs'
import { KeptClients, workMs } from '../lib/keptClients.mjs'
import { runCase } from '../lib/record.mjs'
import { Server } from '../lib/servers.mjs'
import { sleep } from '../lib/sleep.mjs'
import { TroubledServer } from '../lib/troubledServer.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const KEPT = 8
const STREAMS = 24
/** Tiny chunks that the server in trouble writes at a time, 20 times a second. */
const CHUNKS_PER_WRITE = 2_000
/** The rule allows three. */
const ALLOWED = 3

await runCase(FOLDER, 100, async ({ record, work, trouble, onEnd }) => {
	const routes = [appRoute({ timeoutMs: 12_000 }), streamRoute({ resumable: false, attempts: 1 })]
	const store = await startStore(onEnd, configuration(...routes))
	const zones = ['sala-norte', 'sala-sur']
	const app = new Server({ store, service: 'app', zone: zones[0], record, workMs })
	const stream = { count: 20, gapMs: 50 }
	const sound = new Server({ store, service: 'desk', zone: zones[1], record, stream })
	const troubled = new TroubledServer({
		store,
		service: 'desk',
		zone: zones[0],
		record,
		stream,
		opening: (id, signature) =>
			`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Upstream-Signature: ${signature}\r\n` +
			'Transfer-Encoding: chunked\r\n\r\n',
		rest: '1\r\nx\r\n'.repeat(CHUNKS_PER_WRITE),
	})
	for (const server of [app, sound, troubled]) {
		await server.start()
		onEnd(() => server.stop())
	}
	const names = ['edge-1', 'edge-2']
	const [box] = await startBoxes({ names, zones, store, work, onEnd, record })
	void box.exited.then(({ code, signal }) => {
		record.note(`the process of edge-1 has ended: code ${code}, signal ${signal}`)
	})
	const clients = new KeptClients({ box, count: KEPT, record })
	onEnd(() => clients.end())
	// By then the box has been in touch for longer than `ContactMs`.
	await sleep(5_000)
	await clients.round('/acks/short')
	const long = clients.round('/acks/long')
	await sleep(500)
	troubled.isInTrouble = trouble
	record.note(`${STREAMS} clients ask for a stream`)
	const streams = Array.from({ length: STREAMS }, async (_, i) => {
		await sleep(i * 20)
		const request = { path: '/notes/1', headers: streamHeaders(`stream${i}`, 15_000) }
		const answer = await send(box.http, request).ended
		return answer.head?.status ?? 'none'
	})
	await long
	const lost = clients.lost(app)
	record.note(`bytes sent without end: ${troubled.floodBytes}, in ${troubled.floodCount} answers`)
	if (!trouble) record.note(`streams: ${(await Promise.all(streams)).join(' ')}`)
	record.note(`requests on kept connections that ran and got no answer: ${lost.length}`)
	return lost.length > ALLOWED
})
