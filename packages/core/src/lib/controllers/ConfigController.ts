import type { Bundle } from '../bundle/Bundle.js'
import { BundleIndex } from '../bundle/BundleIndex.js'
import { BUNDLE_HEAD_KEY } from '../membership/ZoneView.js'
import type { ConfigSection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { PlatformResult } from '../platform/PlatformOp.js'
import type { Millis } from '../units.js'

const FETCH_RETRY_MS: Millis = 500

/** Returns the version in the value of the bundle head key, or 0 if the value is invalid. */
function headVersion(value: unknown): number {
	const version = (value as { version?: unknown } | null)?.version
	return typeof version === 'number' && Number.isSafeInteger(version) ? version : 0
}

/**
 * Applies the highest known bundle version. The zone leader watches the platform; the other boxes receive the version
 * in its digests. A lower version is never applied.
 */
export class ConfigController {
	private isWatching = false
	private headRevision = 0
	private lastFetchAt: Millis = -Infinity

	constructor(
		private readonly context: CoreContext,
		private readonly section: ConfigSection,
	) {}

	/** Version in force, or 0 if there is none. */
	version(): number {
		return this.section.index?.bundle.version ?? 0
	}

	/** Records that a version exists, and fetches it if it is newer than the one in force. */
	noteVersion(version: number): void {
		this.section.highestKnownVersion = Math.max(this.section.highestKnownVersion, version)
		this.fetchIfNewer()
	}

	/** Applies a bundle, whose signatures and hashes must be verified. Returns false if it is not newer. */
	apply(bundle: Bundle): boolean {
		if (bundle.version <= this.version()) return false
		this.section.index = new BundleIndex(bundle)
		this.section.highestKnownVersion = Math.max(this.section.highestKnownVersion, bundle.version)
		this.context.log('bundle-in-force', { version: bundle.version })
		return true
	}

	tick(): void {
		const { roles, members } = this.context.blackboard
		const hasNoLeader = members.leader === undefined
		if (!this.isWatching && (roles.isLeader || hasNoLeader)) this.watchHead()
		this.fetchIfNewer()
	}

	private watchHead(): void {
		this.isWatching = true
		const timeoutMs = this.context.self.timing.watchTimeoutMs
		this.context.callPlatform(
			{ kind: 'watch', key: BUNDLE_HEAD_KEY, after: this.headRevision, timeoutMs },
			(result) => this.onHead(result),
		)
	}

	private onHead(result: PlatformResult): void {
		this.isWatching = false
		if (result.kind !== 'value') return
		this.headRevision = result.revision
		this.noteVersion(headVersion(result.value))
	}

	private fetchIfNewer(): void {
		if (this.section.highestKnownVersion <= this.version()) return
		if (this.context.now - this.lastFetchAt < FETCH_RETRY_MS) return
		this.lastFetchAt = this.context.now
		const peers = this.context.blackboard.members.view.members
			.filter((member) => member.box !== this.context.self.box)
			.map((member) => member.address)
		this.context.emit({ kind: 'fetch-bundle', version: this.section.highestKnownVersion, peers })
	}
}
