/**
 * Processor time of the talk between boxes, sending and receiving side together, over a real HTTP/2
 * stream on the loopback address: `npm run bench:link`. First by frames a second with one message
 * each, then 100 messages a second with the frames rationed.
 */
import { brandId, type BoxName, type Incarnation, type PeerMessage } from '@stallwing/core'
import { Metrics, PeerLinks, PeerServer } from '@stallwing/router'
import { describeFit } from './lib/fitLine.js'

const MESSAGE_RATES = [0, 25, 100, 400]
const FRAME_LIMITS = [10, 25, 50, 1_000]
const MESSAGES_PER_SECOND = 100
const ROUND_DURATION_MS = 4_000
const SEND_PERIOD_MS = 2
const PERCENT = 100

const message = makeLogMessage()

// The compiler optimises what runs often: without this the first rounds cost several times more.
await measure(3_000, 1_000)
const points: [number, number][] = []
for (const rate of MESSAGE_RATES) points.push([rate, await measure(rate, 1_000)])
print(`% of a core by frames a second, both sides: ${describeFit(points)}`)
for (const ration of FRAME_LIMITS) {
	const used = await measure(MESSAGES_PER_SECOND, ration)
	print(
		`  ${MESSAGES_PER_SECOND} messages a second in at most ${ration} frames: ${used.toFixed(2)} %`,
	)
}

/** Sends at a rate for a while; returns the processor time as % of a core. */
async function measure(rate: number, framesPerSecond: number): Promise<number> {
	const metrics = new Metrics()
	const handlers = {
		onMessage: () => undefined,
		relay: async function* () {},
		bundleDocument: () => '',
	}
	const server = new PeerServer(handlers, metrics, undefined)
	const port = await server.listen('127.0.0.1', 0)
	const links = new PeerLinks(brandId<BoxName>('sender'), undefined, metrics, framesPerSecond)
	const used = await sendAt(links, `http://127.0.0.1:${port}`, rate)
	links.close()
	await server.close()
	return used
}

async function sendAt(links: PeerLinks, address: string, rate: number): Promise<number> {
	const before = process.cpuUsage()
	const startedAt = performance.now()
	let sent = 0
	while (performance.now() - startedAt < ROUND_DURATION_MS) {
		const due = Math.floor(((performance.now() - startedAt) * rate) / 1_000)
		for (; sent < due; sent++) links.send(address, message)
		await new Promise((resolve) => setTimeout(resolve, SEND_PERIOD_MS))
	}
	const used = process.cpuUsage(before)
	return ((used.user + used.system) / 1_000 / (performance.now() - startedAt)) * PERCENT
}

function print(text: string): void {
	process.stdout.write(`${text}\n`)
}

function makeLogMessage(): PeerMessage {
	const box = brandId<BoxName>('zone-a-box-1')
	const incarnation = brandId<Incarnation>('0mx5ycai9x-5609e5')
	const id = brandId<Extract<PeerMessage, { kind: 'log' }>['batch']['bills'][number]['id']>(
		'dispatch-desk/zone-a.mx5ycai9.abcdefghijkl',
	)
	const batch = {
		box,
		incarnation,
		view: 3,
		seq: 17,
		money: [],
		records: [],
		bills: [{ id, turn: 1, amount: 140, at: 1_700_000_000_000 }],
		losses: [],
	}
	return { kind: 'log', batch }
}
