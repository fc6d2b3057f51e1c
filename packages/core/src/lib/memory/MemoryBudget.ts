/**
 * What the memory of an exchange is held for.
 * - `heads`: objects of the exchange and the head of its request, on the heap.
 * - `bodies`: request bodies that are read and not sent yet.
 * - `retries`: request bodies that were sent and are kept for another attempt.
 * - `answers`: parts of answers that are collected or that the caller has not read.
 * @public
 */
export type MemoryClass = 'heads' | 'bodies' | 'retries' | 'answers'

/**
 * - `below`: no limit applies.
 * - `high`: large bodies are refused, and large answers that are not reserved yet are read one at a time.
 * - `full`: requests are refused, least urgent first.
 * @public
 */
export type MemoryLevel = 'below' | 'high' | 'full'

/** Limits that a {@link MemoryBudget} is derived from. @public */
export interface MemoryLimits {
	/** Memory of the process, in bytes. */
	readonly processBytes: number
	/** Maximum size of the heap, in bytes. */
	readonly heapBytes: number
}

/** Bytes that a process needs without exchanges: code, stacks, the allocator and the heap of an idle process. */
const IDLE_PROCESS_BYTES = 85_000_000
/**
 * Share of the remaining memory that may be held in buffers. Buffers that are no longer referenced stay allocated until
 * the next garbage collection, and the allocator does not return all of what it frees.
 */
const BUFFER_SHARE = 0.4
/** Memory of buffers that are no longer referenced from which V8 begins to collect them, in bytes. */
const MAX_GARBAGE_BYTES = 64 * 1024 * 1024
/** Largest share of the memory of the process that its heap may take: buffers are outside the heap. */
const MAX_HEAP_SHARE_OF_PROCESS = 0.5
/** Share of the heap for exchanges; configuration, targets and the log use the rest. */
const EXCHANGE_HEAP_SHARE = 0.5
/** A box with less memory than the idle process needs still serves small requests. */
const MIN_BUFFER_BYTES = 8_000_000
/** Fractions of the budget from which the levels apply. */
const HIGH_FRACTION = 0.6
const FULL_FRACTION = 0.8
/** Share of the budget for answers that wait: they hold memory, and those that wait long miss their goals anyway. */
const WAITING_SHARE = 0.1
/** Bodies up to this size are accepted until the budget is full: nearly all requests are smaller. */
const LARGE_BODY_BYTES = 65_536

/** Counts the bytes that the exchanges of a box hold, and decides what it still accepts. @public */
export class MemoryBudget {
	/** Maximum bytes in buffers. */
	readonly bufferLimit: number
	/** Maximum bytes on the heap. */
	readonly heapLimit: number
	private readonly held: Record<MemoryClass, number> = {
		heads: 0,
		bodies: 0,
		retries: 0,
		answers: 0,
	}

	constructor({ processBytes, heapBytes }: MemoryLimits) {
		const freeBytes = processBytes - IDLE_PROCESS_BYTES
		this.bufferLimit = Math.max(
			MIN_BUFFER_BYTES,
			Math.min(freeBytes * BUFFER_SHARE, freeBytes - MAX_GARBAGE_BYTES),
		)
		// The heap limit of V8 can exceed the memory of the process.
		const heapLimit = Math.min(heapBytes, processBytes * MAX_HEAP_SHARE_OF_PROCESS)
		this.heapLimit = heapLimit * EXCHANGE_HEAP_SHARE
	}

	/** Bytes held, by class. */
	get heldByClass(): Readonly<Record<MemoryClass, number>> {
		return this.held
	}

	/** Bytes held in buffers. */
	get bufferBytes(): number {
		return this.held.bodies + this.held.retries + this.held.answers
	}

	get level(): MemoryLevel {
		const use = this.useWith(0)
		if (use >= FULL_FRACTION) return 'full'
		return use >= HIGH_FRACTION ? 'high' : 'below'
	}

	/** Adds bytes to a class; a negative number releases them. */
	add(memoryClass: MemoryClass, bytes: number): void {
		this.held[memoryClass] += bytes
	}

	/**
	 * True if a request with a body of `bodyBytes` may be read. At the level `full`, less urgent requests are refused
	 * first: the most urgent ones (rank 0) use the budget to its end.
	 */
	mayAccept(bodyBytes: number, rank: number): boolean {
		const use = this.useWith(bodyBytes)
		if (use < HIGH_FRACTION) return true
		if (bodyBytes > LARGE_BODY_BYTES) return false
		return use < FULL_FRACTION + (1 - FULL_FRACTION) / (1 + rank)
	}

	/** True if a body of unstated length may grow to `bodyBytes`. Must be called before its new bytes are held. */
	mayGrow(bodyBytes: number): boolean {
		const use = this.useWith(0)
		return use < (bodyBytes > LARGE_BODY_BYTES ? HIGH_FRACTION : 1)
	}

	/** True if one more answer may wait while the waiting answers hold `waitingBytes` that were read ahead. */
	mayWait(waitingBytes: number): boolean {
		return waitingBytes < this.bufferLimit * WAITING_SHARE
	}

	/** True if `bytes` of a large answer may be reserved, so that it can be read without waiting for its turn. */
	mayReserve(bytes: number): boolean {
		return this.useWith(bytes) < HIGH_FRACTION
	}

	/** Fraction of the budget in use, with `bodyBytes` in addition. */
	private useWith(bodyBytes: number): number {
		return Math.max(
			(this.bufferBytes + bodyBytes) / this.bufferLimit,
			this.held.heads / this.heapLimit,
		)
	}
}
