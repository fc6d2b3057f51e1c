/**
 * A release replaces the servers of a service by ones of another software version. The entries of the old servers have
 * gone, and they serve on for a while, when all processes of the system are killed. Clients take their streams up again.
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
const EVENTS = 90
const GAP_MS = 100
const STREAMS = 8
/** After a short delay, a process that was killed is started again. */
const RESTART_MS = 500
/** The rule allows two streams. */
const ALLOWED = 2

await runCase(FOLDER, 100, async ({ record, work, trouble, onEnd }) => {
	const store = await startStore(onEnd, configuration(streamRoute({ resumable: true })))
	const zones = ['sala-norte', 'sala-sur', 'sala-centro']
	const startServer = async (zone, version) => {
		const stream = { count: EVENTS, gapMs: GAP_MS }
		const server = new Server({ store, service: 'desk', zone, version, record, stream })
		await server.start()
		onEnd(() => server.stop())
		record.note(`server ${server.id} of version ${version} is up in ${zone}`)
		return server
	}
	const old = [await startServer(zones[0], 4), await startServer(zones[1], 4)]
	const names = ['edge-1', 'edge-2', 'edge-3']
	const boxes = await startBoxes({ names, zones, store, work, onEnd, record })
	await sleep(1_000)

	const clients = []
	for (let i = 0; i < STREAMS; i++) {
		const id = `first${i}${Date.now().toString(16)}`
		const box = boxes[i % boxes.length]
		record.note(`client ${i} sends ${id} to ${box.name}`)
		clients.push({
			index: i,
			id,
			...send(box.http, { path: '/notes/1', headers: streamHeaders(id) }),
		})
		await sleep(40)
	}
	// The release: each new server is up before the entry of an old one goes; the old ones serve on.
	for (const server of old) {
		await startServer(server.zone, 5)
		await sleep(700)
		server.withdraw()
		record.note(`the entry of server ${server.id} has gone; it serves on`)
		await sleep(500)
	}
	if (trouble) {
		record.note(`SIGKILL to ${names.join(' ')}`)
		for (const box of boxes) box.signal('SIGKILL')
		await Promise.all(boxes.map((box) => box.exited))
		await sleep(RESTART_MS)
		record.note(`starts ${names.join(' ')} again`)
		for (const box of boxes) box.start(false)
	}
	let mixed = 0
	let continued = 0
	await Promise.all(
		clients.map(async (client) => {
			const first = await client.ended
			const texts = [...first.events.texts]
			const last = first.events.ids.at(-1)
			record.note(
				`client ${client.index} has ${last} events; connection ${first.end}; ` +
					(first.body.complete ? 'complete' : 'not complete'),
			)
			if (!first.body.complete) {
				const box = boxes[(client.index + 1) % boxes.length]
				await box.waitUntilReady(10_000)
				const id = `again${client.index}${Date.now().toString(16)}`
				const leftMs = 9_000
				const more = { 'Last-Event-Id': String(last), Resumes: client.id }
				record.note(`client ${client.index} takes it up as ${id} at ${box.name} after ${last}`)
				const request = { path: '/notes/1', headers: streamHeaders(id, leftMs, more) }
				const again = await send(box.http, request).ended
				texts.push(...again.events.texts)
				if (again.head?.status === 200 && again.events.ids.length > 0) continued++
				record.note(
					`client ${client.index} got status ${again.head?.status} and events ` +
						`${again.events.ids[0]} to ${again.events.ids.at(-1)}`,
				)
			}
			const versions = new Set(texts.map((text) => /version (\d+)/.exec(text)?.[1]))
			if (versions.size > 1) mixed++
			record.note(`client ${client.index} holds events of versions ${[...versions].join(' and ')}`)
		}),
	)
	record.note(`streams that went on: ${continued}; with events of two versions: ${mixed}`)
	return mixed > ALLOWED
})
