import type { ServiceName, SoftwareVersion, StreamOrigin } from '@stallwing/core'

/** What a box knows about a stream, and about the versions of the service. */
export interface OriginResponse {
	readonly origin: StreamOrigin | undefined
	/** Targets of several software versions have served recently. */
	readonly isMixed: boolean
	/** The list of targets is current, and the box knows all versions that served for as long as a stream can last. */
	readonly knowsHistory: boolean
	/**
	 * Versions that have served recently, as far as the box knows; undefined for a box of an earlier version, which does not
	 * regard the age of its list.
	 */
	readonly versions: readonly SoftwareVersion[] | undefined
}

/** Where the origin of a stream was found: at this box, at another one, or in the store. */
export type OriginSource = 'this box' | 'another box' | 'store'

/** Result of a search for the origin of a stream. */
export type OriginLookup =
	| { readonly kind: 'found'; readonly origin: StreamOrigin; readonly source: OriginSource }
	/** All targets that can have begun the stream run the same version; undefined if no target has served lately. */
	| { readonly kind: 'one-version'; readonly version: SoftwareVersion | undefined }
	/** Several versions have served, or may have, and no box knows where the stream began. */
	| { readonly kind: 'unknown' }
	/** The list of this box is not current, and no box can tell whether several versions have served. */
	| { readonly kind: 'unconfirmed' }

/** A search for the origin of a stream. */
export interface OriginQuery {
	/** Id of the request that began the stream. */
	readonly request: string
	readonly service: ServiceName
	/** Id of the request that resumes it. */
	readonly resumedBy: string
}
