/**
 * Measures the CPU time of messages between two boxes, sender and receiver together, over HTTP/2 on the
 * loopback address: `npm run bench:link`. The first part varies the rate of frames with one message each,
 * the second the limit of frames per second at 100 messages per second.
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

// Warms up the JIT compiler. Without this, the first rounds cost several times more.
await measure(3_000, 1_000)
const points: [number, number][] = []
for (const rate of MESSAGE_RATES) points.push([rate, await measure(rate, 1_000)])
print(`% of a core by frames a second, both sides: ${describeFit(points)}`)
for (const frameLimit of FRAME_LIMITS) {
	const cpu = await measure(MESSAGES_PER_SECOND, frameLimit)
	print(
		`  ${MESSAGES_PER_SECOND} messages a second in at most ${frameLimit} frames: ${cpu.toFixed(2)} %`,
	)
}

/** Sends at a rate for one round. Returns the CPU time as % of a core. */
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
	const cpu = await sendAt(links, `http://127.0.0.1:${port}`, rate)
	links.close()
	await server.close()
	return cpu
}

async function sendAt(links: PeerLinks, address: string, rate: number): Promise<number> {
	const before = process.cpuUsage()
	const startedAt = performance.now()
	let sent = 0
	while (performance.now() - startedAt < ROUND_DURATION_MS) {
		const dueCount = Math.floor(((performance.now() - startedAt) * rate) / 1_000)
		for (; sent < dueCount; sent++) links.send(address, message)
		await new Promise((resolve) => setTimeout(resolve, SEND_PERIOD_MS))
	}
	const cpu = process.cpuUsage(before)
	return ((cpu.user + cpu.system) / 1_000 / (performance.now() - startedAt)) * PERCENT
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
