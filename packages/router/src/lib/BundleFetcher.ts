import type { Bundle } from '@stallwing/core'
import {
	BundleStore,
	checkAccepted,
	type BundleDocument,
	type OperatorKey,
	type PlatformClient,
} from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import type { PeerLinks } from './PeerLinks.js'

/** Result of fetching a bundle. */
export type FetchResult =
	| { readonly kind: 'taken'; readonly bundle: Bundle }
	| { readonly kind: 'refused'; readonly faults: readonly string[] }
	| { readonly kind: 'unavailable' }

/** Fetches the accepted bundle from the platform or another box, and checks its signatures. */
export class BundleFetcher {
	private readonly store: BundleStore
	private latest: { version: number; document: BundleDocument } | undefined

	constructor(
		platform: PlatformClient,
		private readonly peerLinks: PeerLinks,
		private readonly operators: readonly OperatorKey[],
	) {
		this.store = new BundleStore(platform)
	}

	/** Returns the document of the latest fetched version as JSON, or an empty string for any other version. */
	document(version: number): string {
		return this.latest?.version === version ? JSON.stringify(this.latest.document) : ''
	}

	/** Fetches the accepted bundle from the platform, or `version` from the first peer that has it. */
	async fetch(version: number, peers: readonly string[]): Promise<FetchResult> {
		const document = (await this.fetchFromPlatform()) ?? (await this.fetchFromPeers(version, peers))
		if (!document) return { kind: 'unavailable' }
		const checked = checkAccepted(document, this.operators)
		if (E.isLeft(checked))
			return { kind: 'refused', faults: checked.left.map((fault) => JSON.stringify(fault)) }
		this.latest = { version: checked.right.version, document }
		return { kind: 'taken', bundle: checked.right }
	}

	private async fetchFromPlatform(): Promise<BundleDocument | undefined> {
		try {
			return await this.store.accepted()
		} catch {
			return undefined
		}
	}

	private async fetchFromPeers(
		version: number,
		peers: readonly string[],
	): Promise<BundleDocument | undefined> {
		for (const peer of peers) {
			try {
				const { document } = await this.peerLinks.client(peer).getBundle({ version })
				if (document !== '') return JSON.parse(document) as BundleDocument
			} catch {
				continue
			}
		}
		return undefined
	}
}
