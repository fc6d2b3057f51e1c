import type { ZoneName } from '../ids.js'
import type { Millis } from '../units.js'

/** Parts of a zoned key `<zone>.<time>.<random>`, where the time is in Unix ms, in base 36. @public */
export interface KeyParts {
	readonly zone: ZoneName
	readonly mintedAt: Millis
}

const ZONED_KEY = /^([a-z0-9-]{1,40})\.([0-9a-z]{6,10})\.([0-9A-Za-z_-]{6,64})$/
const KEY_CHARACTERS = /^[\x21-\x7e]{1,200}$/

/** True if a caller's key consists of 1 to 200 printable ASCII characters. @public */
export function isWellFormedKey(key: string): boolean {
	return KEY_CHARACTERS.test(key)
}

/** Parses a zoned key. Returns undefined for any other key and for an unknown zone. @public */
export function parseKey(key: string, zones: readonly ZoneName[]): KeyParts | undefined {
	const match = ZONED_KEY.exec(key)
	if (!match) return undefined
	const zone = match[1] as ZoneName
	if (!zones.includes(zone)) return undefined
	const mintedAt = Number.parseInt(match[2] ?? '', 36)
	if (!Number.isSafeInteger(mintedAt)) return undefined
	return { zone, mintedAt }
}

/** Creates a zoned key. `random` must be 6 to 64 letters and digits. @public */
export function mintKey(zone: ZoneName, now: Millis, random: string): string {
	return `${zone}.${Math.floor(now).toString(36)}.${random}`
}
