import type { Millis } from '../units.js'
import { NO_PLACE_USE, type PlaceUse } from './PlaceUse.js'

/** Age up to which the reports of other boxes count in any case: they are sent at least this often. */
const MIN_OUTDATED_MS: Millis = 200

/** The last measured use of the places, with what this box has changed since. */
export class KnownUse {
	private measured: PlaceUse = NO_PLACE_USE
	/** Places that this box took since the measurement, less those that it released. */
	private ownChange = 0

	set(use: PlaceUse): void {
		this.measured = use
		this.ownChange = 0
	}

	noteTaken(): void {
		this.ownChange++
	}

	noteReleased(): void {
		this.ownChange--
	}

	get places(): number {
		return this.measured.places
	}

	get isKnown(): boolean {
		return this.measured.isKnown && this.measured.places > 0
	}

	/** Places that this box uses. */
	get own(): number {
		return Math.max(0, this.measured.own + this.ownChange)
	}

	/** Places in use: the larger of what the targets report and what the boxes have in flight. */
	get inUse(): number {
		const { reported } = this.measured
		return Math.max(reported + Math.max(0, this.ownChange), this.own + this.peers)
	}

	/** Places used by other boxes; 0 if their reports are much older than those of the targets, which include them. */
	get peers(): number {
		const { peers, peersAgeMs, reported, reportedAgeMs } = this.measured
		const isOutdated = reported > 0 && peersAgeMs > 2 * reportedAgeMs + MIN_OUTDATED_MS
		return isOutdated ? 0 : peers
	}

	/** Age of the reports that decide {@link inUse}. */
	get ageMs(): Millis {
		const { peersAgeMs, reported, reportedAgeMs } = this.measured
		return reported > this.own + this.peers ? reportedAgeMs : peersAgeMs
	}
}
