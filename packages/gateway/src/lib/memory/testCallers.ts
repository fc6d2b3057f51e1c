import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import type { CallerResponse, TestBox } from '../testBox.js'
import { trafficConfigOf } from '../testTrafficConfig.js'

/** A caller on a raw socket, which controls how fast it reads. */
export interface RawCaller {
	readonly socket: Socket
	/** Everything that was read. */
	text(): string
	/** True if the connection ended with a reset. */
	wasReset(): boolean
}

/** Body of a request, which may be sent only in part. */
export interface RawBody {
	readonly statedBytes: number
	readonly sentBytes: number
}

/** Sends a request and reads nothing. */
export async function sendAndReadNothing(
	box: TestBox,
	path: string,
	{ statedBytes, sentBytes }: RawBody = { statedBytes: 0, sentBytes: 0 },
	httpVersion: '1.0' | '1.1' = '1.1',
): Promise<RawCaller> {
	const socket = connect({ port: box.port, host: '127.0.0.1' })
	const chunks: Buffer[] = []
	let wasReset = false
	socket.on('error', (error: NodeJS.ErrnoException) => (wasReset = error.code === 'ECONNRESET'))
	await new Promise<void>((resolve) => socket.once('connect', resolve))
	socket.pause()
	socket.on('data', (chunk: Buffer) => void chunks.push(chunk))
	socket.pause()
	const head = `POST ${path} HTTP/${httpVersion}\r\nHost: a.example\r\nrequest-id: slow\r\nauthorization: key\r\n`
	socket.write(`${head}content-length: ${statedBytes}\r\n\r\n`)
	if (sentBytes > 0) socket.write(Buffer.alloc(sentBytes))
	return { socket, text: () => Buffer.concat(chunks).toString('latin1'), wasReset: () => wasReset }
}

/** Reads `bytesPerSecond` until the returned function is called. */
export function readSteadily(caller: RawCaller, bytesPerSecond: number): () => void {
	const { socket } = caller
	const intervalMs = 100
	let allowedBytes = 0
	const count = (chunk: Buffer): void => {
		allowedBytes -= chunk.length
		if (allowedBytes <= 0) socket.pause()
	}
	socket.on('data', count)
	const timer = setInterval(() => {
		allowedBytes += (bytesPerSecond * intervalMs) / 1_000
		if (allowedBytes > 0) socket.resume()
	}, intervalMs)
	return () => {
		clearInterval(timer)
		socket.off('data', count)
	}
}

/** Result of normal requests that run beside slow callers. */
export interface NormalTraffic {
	readonly sent: number
	readonly served: number
	/** Requests that were not served, with the status of the answer and the reason that the box logged. */
	readonly unserved: readonly string[]
}

/** Sends a small request every 50 ms until the returned function is called. */
export function runNormalTraffic(
	box: TestBox,
	path = '/again/normal',
): () => Promise<NormalTraffic> {
	const answers: Promise<string | undefined>[] = []
	const timer = setInterval(() => {
		const id = `n-${answers.length}`
		const answer = box.sendRequest(path, { id })
		answers.push(answer.then((response) => describeUnserved(box, id, response)))
	}, 50)
	return async () => {
		clearInterval(timer)
		const results = await Promise.all(answers)
		const unserved = results.filter((result) => result !== undefined)
		return { sent: results.length, served: results.length - unserved.length, unserved }
	}
}

/** Returns undefined if the request was served. */
function describeUnserved(
	box: TestBox,
	id: string,
	{ status, isComplete }: CallerResponse,
): string | undefined {
	if (status === 200 && isComplete) return undefined
	const refused = box.logEvents.findLast(
		({ name, fields }) => name === 'request-refused' && fields['request'] === id,
	)
	const { kind = 'not refused', detail = '' } = refused?.fields ?? {}
	return `${id}: ${status}, ${kind} ${detail}`
}

/** Starts a target that accepts connections and reads nothing. Returns its address and a function that closes it. */
export async function startDeafTarget(): Promise<{ address: string; close: () => void }> {
	const sockets = new Set<Socket>()
	const server = createServer({ pauseOnConnect: true }, (socket) => {
		sockets.add(socket.on('error', () => undefined))
	})
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		close: () => {
			for (const socket of sockets) socket.destroy()
			server.close()
		},
	}
}

/** Activates a configuration that accepts bodies of up to `maxBodyBytes`. */
export function configureWithBodies(box: TestBox, maxBodyBytes: number): void {
	const config = trafficConfigOf(1)
	const limits = { ...config.limits, maxBodyBytes }
	// Slow callers must not use up the connections to a target: that limit is not under test here.
	const services = config.services.map((service) => ({ ...service, maxConnections: 5_000 }))
	box.store.put('config/now', JSON.stringify({ ...config, limits, services }))
}
