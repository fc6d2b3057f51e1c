/** A small deployment: a store with a configuration, and boxes in zones. */
import { Box, freePorts } from './boxes.mjs'
import { Store } from './store.mjs'

export const HOST = 'desk.example'
export const KEY = 'n2ctnfzs989anu6wsjnb'
const READY_MS = 25_000

/** A streaming route to the model servers `desk`. */
export function streamRoute({ resumable, attempts = 2 }) {
	return {
		Name: 'notes',
		Host: HOST,
		PathPrefix: '/notes/',
		RouteType: 'streaming',
		TimeoutMs: 15_000,
		TargetLatencyMs: 400,
		ItlTargetMs: 300,
		Priority: 2,
		Backend: 'desk',
		MaxAttempts: attempts,
		Public: false,
		Sticky: true,
		Resumable: resumable,
	}
}

/** A route whose requests may run once, to the application servers `app`. */
export function appRoute({ type = 'non_idempotent', timeoutMs = 4_000 } = {}) {
	return {
		Name: 'acks',
		Host: HOST,
		PathPrefix: '/acks/',
		RouteType: type,
		TimeoutMs: timeoutMs,
		TargetLatencyMs: 1_500,
		Priority: 2,
		Backend: 'app',
		MaxAttempts: 1,
		Public: false,
	}
}

/** The configuration that the operator wrote. */
export function configuration(...routes) {
	const runtime = { Slots: 64, Stride: 3, KvCapacity: 374_509 }
	return {
		ConfigVersion: 7,
		Routes: routes,
		Backends: [
			{ Name: 'desk', HealthPath: '/healthz', MaxConnections: 360, Runtime: runtime },
			{ Name: 'app', HealthPath: '/healthz', MaxConnections: 100 },
		],
		Limits: {
			MaxHeaderBytes: 16_384,
			MaxBodyBytes: 4_194_304,
			HeaderTimeoutMs: 5_000,
			IdleTimeoutMs: 15_000,
		},
		Tenants: [{ Name: 'crews', ApiKeys: [KEY], Priority: 0, ReservedTokens: 5_000_000 }],
	}
}

/** Headers of a client attempt. */
export function streamHeaders(id, deadlineMs = 15_000, more = {}) {
	// Requests about different subjects, which share no part.
	const subject = Buffer.from(id).toString('hex').slice(0, 24)
	return {
		Host: HOST,
		'X-Attempt-Id': id,
		'X-Model': 'm',
		'X-Token-Usage': '543,700',
		'X-Prefix-Hash': `aa${subject}:103,bb${subject}:69,cc${subject}:371`,
		'X-Deadline-Ms': String(deadlineMs),
		Authorization: `Bearer ${KEY}`,
		...more,
	}
}

/** Headers of a client attempt on a plain route. */
export function plainHeaders(id, deadlineMs) {
	return {
		Host: HOST,
		'X-Attempt-Id': id,
		'X-Deadline-Ms': String(deadlineMs),
		Authorization: `Bearer ${KEY}`,
	}
}

export async function startStore(onEnd, config) {
	const store = new Store()
	await store.start()
	onEnd(() => store.stop())
	store.put('op/config', config)
	return store
}

export async function startBoxes({ names, zones, store, work, onEnd, record }) {
	const boxes = []
	for (const [index, name] of names.entries()) {
		const ports = await freePorts(4)
		const zone = zones[index % zones.length]
		const box = new Box({ name, zone, zones, storeAddress: store.address, folder: work, ports })
		boxes.push(box)
		onEnd(() => box.stop())
	}
	for (const box of boxes) box.start(true)
	await Promise.all(boxes.map((box) => box.waitUntilReady(READY_MS)))
	record.note(`boxes ready: ${names.join(' ')}`)
	return boxes
}
