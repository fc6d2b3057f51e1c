const OFFSET_BASIS = 0x811c9dc5
const PRIME = 0x01000193

/**
 * 32-bit FNV-1a hash with a finalizer, for distributing keys. Not cryptographically secure.
 * @public
 */
export function fnv1a(text: string): number {
	let hash = OFFSET_BASIS
	for (let i = 0; i < text.length; i++) {
		hash ^= text.charCodeAt(i)
		hash = Math.imul(hash, PRIME)
	}
	hash ^= hash >>> 16
	hash = Math.imul(hash, 0x85ebca6b)
	hash ^= hash >>> 13
	hash = Math.imul(hash, 0xc2b2ae35)
	hash ^= hash >>> 16
	return hash >>> 0
}
