import type { BoxName } from '../ids.js'
import type { Millis } from '../units.js'

const MAX_AGE_MS: Millis = 5_000

/** Estimates how long input waits on the link, from the send times of other boxes. @public */
export class LinkDelayEstimator {
	private readonly senders = new Map<
		BoxName,
		{ sentAt: Millis; least: Millis; delay: Millis; at: Millis }
	>()

	noteReport(box: BoxName, sentAt: Millis, receivedAt: Millis): void {
		const offset = receivedAt - sentAt
		const known = this.senders.get(box)
		const least =
			known === undefined || sentAt < known.sentAt ? offset : Math.min(known.least, offset)
		this.senders.set(box, { sentAt, least, delay: offset - least, at: receivedAt })
	}

	/** Delay of the link; 0 if it is unknown. */
	delayMs(now: Millis): Millis {
		const delays = [...this.senders.values()]
			.filter(({ at }) => now - at < MAX_AGE_MS)
			.map(({ delay }) => delay)
			.sort((a, b) => a - b)
		return delays[Math.floor(delays.length / 2)] ?? 0
	}
}
