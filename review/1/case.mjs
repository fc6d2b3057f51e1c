/**
 * Four clients send bodies within the limit of the configuration, in chunks of 16 bytes, while others have requests at work
 * at a sound server. With TROUBLE=0 the same bodies come with a length.
 */
import { connect } from 'node:net'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { KeptClients, workMs } from '../lib/keptClients.mjs'
import {
	appRoute,
	configuration,
	plainHeaders,
	startBoxes,
	startStore,
} from '../lib/deployment.mjs'
import { runCase } from '../lib/record.mjs'
import { Server } from '../lib/servers.mjs'
import { sleep } from '../lib/sleep.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const BODY_BYTES = 4_000_000
const CHUNK_BYTES = 16
const SENDERS = 4
const KEPT = 8
/** The rule allows three. */
const ALLOWED = 3
const CHUNKS_PER_WRITE = 2_000

/** Sends one request with a large body. Resolves to what the client got. */
function sendLarge(port, id, inChunks) {
	const socket = connect({ host: '127.0.0.1', port })
	let text = ''
	socket.on('data', (data) => (text += data.toString('latin1')))
	socket.on('error', () => undefined)
	const framing = inChunks ? 'Transfer-Encoding: chunked' : `Content-Length: ${BODY_BYTES}`
	const head = Object.entries(plainHeaders(id, 8_000)).map(
		([name, value]) => `${name}: ${value}\r\n`,
	)
	socket.write(`POST /acks/large HTTP/1.1\r\n${head.join('')}${framing}\r\n\r\n`)
	const piece = 'x'.repeat(CHUNK_BYTES)
	const chunk = inChunks ? `${CHUNK_BYTES.toString(16)}\r\n${piece}\r\n` : piece
	let left = BODY_BYTES / CHUNK_BYTES
	const writeOn = () => {
		if (socket.destroyed) return
		const count = Math.min(left, CHUNKS_PER_WRITE)
		left -= count
		const isWritable = socket.write(chunk.repeat(count))
		if (left === 0) {
			if (inChunks) socket.write('0\r\n\r\n')
			return
		}
		if (isWritable) setImmediate(writeOn)
		else socket.once('drain', writeOn)
	}
	writeOn()
	return new Promise((resolve) => {
		socket.on('close', () => resolve(text))
		setTimeout(() => socket.destroy(), 10_000)
		socket.on('data', () => setTimeout(() => socket.destroy(), 200))
	})
}

await runCase(FOLDER, 100, async ({ record, work, trouble, onEnd }) => {
	const store = await startStore(onEnd, configuration(appRoute({ timeoutMs: 12_000 })))
	const zones = ['sala-norte', 'sala-sur']
	const server = new Server({ store, service: 'app', zone: zones[0], record, workMs })
	await server.start()
	onEnd(() => server.stop())
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
	const way = trouble ? `in chunks of ${CHUNK_BYTES} bytes` : 'with a length'
	record.note(`${SENDERS} clients send bodies of ${BODY_BYTES} bytes each, ${way}`)
	const answers = await Promise.all(
		Array.from({ length: SENDERS }, (_, i) => sendLarge(box.http, `large${i}`, trouble)),
	)
	for (const [i, text] of answers.entries())
		record.note(`large${i} got ${text === '' ? 'no answer' : text.slice(0, 15)}`)
	await long
	const lost = clients.lost(server)
	record.note(`requests on kept connections that ran and got no answer: ${lost.length}`)
	return lost.length > ALLOWED
})
