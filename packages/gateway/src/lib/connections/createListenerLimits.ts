import { getHeapStatistics } from 'node:v8'
import { CONNECTION_ALLOWANCE_BYTES, type ConnectionLimits } from '@stallwing/http'
import type { BoxCapacity } from '../GatewayOptions.js'

/** The servers of a box, by who connects to them. @public */
export type Listener = 'callers' | 'readiness' | 'peers' | 'operators'

/** How a listener shares the resources of the box. */
interface ListenerShare {
	/** Share of the descriptors for its connections. */
	readonly descriptors: number
	/** Share of the heap for what its connections are allowed to hold. */
	readonly allowances: number
	/** Share of the heap for what its connections hold beyond that. */
	readonly excess: number
	readonly maxOpenRequests: number
	readonly maxConnections: number
}

/** The rest of the descriptors is for targets, the store and other boxes. */
const SHARES: Readonly<Record<Listener, ListenerShare>> = {
	callers: {
		descriptors: 0.55,
		allowances: 0.3,
		excess: 0.15,
		maxOpenRequests: 32,
		maxConnections: Infinity,
	},
	peers: {
		descriptors: 0.2,
		allowances: 0.1,
		excess: 0.03,
		maxOpenRequests: 8,
		maxConnections: Infinity,
	},
	readiness: {
		descriptors: 0.04,
		allowances: 0.01,
		excess: 0.01,
		maxOpenRequests: 8,
		maxConnections: 32,
	},
	operators: {
		descriptors: 0.04,
		allowances: 0.01,
		excess: 0.01,
		maxOpenRequests: 4,
		maxConnections: 32,
	},
}
const MIN_CONNECTIONS = 8
/** Descriptors where the settings state no limit. */
const DEFAULT_DESCRIPTORS = 4_096
/** Descriptors that are not for connections, such as those of files. */
const FILE_DESCRIPTORS = 200
/** Largest share of the memory of the process that its heap may take: buffers are outside the heap. */
const MAX_HEAP_SHARE = 0.5

/** The limits of a listener of a box with this capacity. `heapBytes` is the maximum size of its heap. */
export function createListenerLimits(
	listener: Listener,
	capacity: BoxCapacity,
	heapBytes = getHeapStatistics().heap_size_limit,
): ConnectionLimits {
	const { descriptors = DEFAULT_DESCRIPTORS, memoryBytes = Infinity } = capacity
	const share = SHARES[listener]
	const heap = Math.min(heapBytes, memoryBytes * MAX_HEAP_SHARE)
	const maxConnections = Math.min(
		share.maxConnections,
		(descriptors - FILE_DESCRIPTORS) * share.descriptors,
		(heap * share.allowances) / CONNECTION_ALLOWANCE_BYTES,
	)
	const limits = {
		maxConnections: Math.max(MIN_CONNECTIONS, Math.floor(maxConnections)),
		maxOpenRequests: share.maxOpenRequests,
		maxExcessBytes: heap * share.excess,
	}
	if (listener !== 'callers') return limits
	return {
		...limits,
		maxConnections: capacity.maxCallerConnections ?? limits.maxConnections,
		maxOpenRequests: capacity.maxOpenRequests ?? limits.maxOpenRequests,
	}
}
