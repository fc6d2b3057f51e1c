import type { BoxName } from '../ids.js'
import type { Millis } from '../units.js'

/** What is known of the reports of one sender. */
interface Sender {
	/** Least difference of receive time and send time in the current and the previous window. */
	least: Millis
	leastOfPrevious: Millis
	windowStartedAt: Millis
	/** Since when the differences belong to one clock of the sender. */
	readonly knownSince: Millis
	sentAt: Millis
	receivedAt: Millis
	delayMs: Millis
}

/**
 * Length of a window of least differences. Long against bursts, so that a burst does not become the reference; short
 * enough that the drift of two clocks (about 0.1 ms per second at worst) stays below 30 ms over two windows.
 */
const WINDOW_MS: Millis = 120_000
/** A larger delay is a restart or a jump of the sender's clock: a report is used for 5 s, so later ones don't matter. */
const MAX_DELAY_MS: Millis = 5_000
/** Reports that overtake each other differ by less; a larger step back is a restart of the sender. */
const MAX_REORDERING_MS: Millis = 1_000
/** A single report of a new sender is no reference for its delay. */
const MIN_KNOWN_MS: Millis = 1_000
/** Age of reports that are used, in order of preference. Idle boxes report every 2 s. */
const FRESHNESS_MS: readonly Millis[] = [1_000, 2_500]
/** With a single sender, its own delay can't be told from the delay of this box. */
const MIN_SENDERS = 2

/**
 * Estimates how long bytes wait at the link of this box before the box sees them, from the send times in the reports of
 * other boxes. A delay of this box affects the reports of all senders, a delay or clock jump of a sender only its own.
 * Send times are from the sender's monotonic clock, whose origin is unknown here.
 * @public
 */
export class LinkDelayEstimator {
	private readonly senders = new Map<BoxName, Sender>()

	/** Records a report; `sentAt` is a time of the sender's clock, `receivedAt` one of this box's clock. */
	noteReport(box: BoxName, sentAt: Millis, receivedAt: Millis): void {
		if (!Number.isFinite(sentAt) || !Number.isFinite(receivedAt)) return
		const difference = receivedAt - sentAt
		const sender = this.senders.get(box)
		if (sender === undefined || isOtherClock(sender, sentAt, receivedAt)) {
			this.senders.set(box, newSender(sentAt, receivedAt))
			return
		}
		if (receivedAt - sender.windowStartedAt >= WINDOW_MS) {
			sender.leastOfPrevious = sender.least
			sender.least = difference
			sender.windowStartedAt = receivedAt
		}
		sender.least = Math.min(sender.least, difference)
		if (sentAt < sender.sentAt) return
		sender.sentAt = sentAt
		sender.receivedAt = receivedAt
		sender.delayMs = difference - Math.min(sender.least, sender.leastOfPrevious)
	}

	/** Returns the present delay: the median over senders with fresh reports, 0 if too few are known. */
	delayMs(now: Millis): Millis {
		this.forgetSilentSenders(now)
		for (const freshnessMs of FRESHNESS_MS) {
			const delays: Millis[] = []
			for (const sender of this.senders.values()) {
				if (now - sender.receivedAt > freshnessMs) continue
				if (sender.receivedAt - sender.knownSince < MIN_KNOWN_MS) continue
				delays.push(sender.delayMs)
			}
			if (delays.length >= MIN_SENDERS) return lowerMedian(delays)
		}
		return 0
	}

	private forgetSilentSenders(now: Millis): void {
		for (const [box, sender] of this.senders) {
			if (now - sender.receivedAt > WINDOW_MS) this.senders.delete(box)
		}
	}
}

function newSender(sentAt: Millis, receivedAt: Millis): Sender {
	return {
		least: receivedAt - sentAt,
		leastOfPrevious: Number.POSITIVE_INFINITY,
		windowStartedAt: receivedAt,
		knownSince: receivedAt,
		sentAt,
		receivedAt,
		delayMs: 0,
	}
}

function isOtherClock(sender: Sender, sentAt: Millis, receivedAt: Millis): boolean {
	if (sentAt < sender.sentAt - MAX_REORDERING_MS) return true
	const least = Math.min(sender.least, sender.leastOfPrevious)
	const difference = receivedAt - sentAt
	return Math.abs(difference - least) > MAX_DELAY_MS
}

function lowerMedian(values: Millis[]): Millis {
	values.sort((a, b) => a - b)
	return values[Math.floor((values.length - 1) / 2)] ?? 0
}
