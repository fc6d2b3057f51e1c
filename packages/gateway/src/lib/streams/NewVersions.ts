import {
	rendezvousRank,
	type BoxName,
	type FleetMember,
	type LogEvent,
	type ServiceName,
	type SoftwareVersion,
	type TargetRegistry,
} from '@stallwing/core'
import type { PeerDatagrams } from '../PeerDatagrams.js'
import type { OriginResponse } from './OriginLookup.js'
import { decodeKnownVersions, encodeKnownVersion } from './knownVersionCodec.js'

/** Dependencies of {@link NewVersions}. */
export interface NewVersionsOptions {
	readonly registry: Pick<TargetRegistry, 'services' | 'versions'>
	readonly datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'>
	readonly self: FleetMember
	readonly otherMembers: () => readonly FleetMember[]
	/** True once the boxes of the fleet have been listed. */
	readonly isFleetKnown: () => boolean
	/** Asks another box which versions it knows; resolves to undefined if it does not answer. */
	readonly ask: (address: string, service: ServiceName) => Promise<OriginResponse | undefined>
	/** Time after which each box knows a listed version, or that its list is not current, in ms. */
	readonly holdMs: number
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/** Fleet size up to which each box asks all others by itself. */
const MAX_ASKING_BOXES = 13
/** Boxes of a larger fleet that ask, and tell the others. */
const ASKING_BOXES = 2
/** Boxes that are asked at the same time. */
const MAX_OPEN_QUESTIONS = 40

/**
 * The software versions at which no stream may begin yet. A box whose list of targets is old may take an earlier version for
 * the only one, and would resume the stream there. So a new version waits until all boxes know it or, where some do not
 * answer, until these know that their list is not current. Until then streams begin at the earlier version.
 */
export class NewVersions {
	/** Versions about which this box is asking the others. */
	private readonly open = new Set<string>()

	constructor(private readonly options: NewVersionsOptions) {
		options.datagrams.onMessage((bytes) => this.receive(bytes))
	}

	/** Versions of a service at which no stream may begin yet. */
	heldBack(service: ServiceName): ReadonlySet<SoftwareVersion> {
		const { holdMs, now, registry } = this.options
		return registry.versions.introductions.heldBack(service, now(), holdMs)
	}

	/** Asks other boxes about new versions. Must be called several times per second. */
	maintain(): void {
		if (!this.options.isFleetKnown()) return
		for (const service of this.options.registry.services)
			for (const version of this.heldBack(service))
				if (this.isAsking(service, version)) void this.confirm(service, version)
	}

	private isAsking(service: ServiceName, version: SoftwareVersion): boolean {
		const { otherMembers, self } = this.options
		const boxes: readonly BoxName[] = [self, ...otherMembers()].map(({ box }) => box)
		if (boxes.length <= MAX_ASKING_BOXES) return true
		return rendezvousRank(`${service} ${version}`, self.box, boxes, ASKING_BOXES) !== undefined
	}

	/** Asks all boxes whether they know a version, and confirms it if they do. */
	private async confirm(service: ServiceName, version: SoftwareVersion): Promise<void> {
		const key = `${service} ${version}`
		if (this.open.has(key)) return
		this.open.add(key)
		const isKnown = await this.isKnownToAll(service, version)
		this.open.delete(key)
		if (!isKnown) return
		const { datagrams, log, otherMembers, registry } = this.options
		registry.versions.introductions.confirm(service, version)
		log({ name: 'version-confirmed', fields: { service, version } })
		const members = otherMembers()
		if (members.length < MAX_ASKING_BOXES) return
		const message = encodeKnownVersion(service, version)
		for (const { address } of members) datagrams.send(message, address)
	}

	private async isKnownToAll(service: ServiceName, version: SoftwareVersion): Promise<boolean> {
		const members = this.options.otherMembers()
		for (let i = 0; i < members.length; i += MAX_OPEN_QUESTIONS) {
			const asked = members.slice(i, i + MAX_OPEN_QUESTIONS).map(async ({ address }) => {
				const response = await this.options.ask(address, service)
				return response?.versions?.includes(version) === true
			})
			if ((await Promise.all(asked)).includes(false)) return false
		}
		return true
	}

	private receive(bytes: Buffer): boolean {
		const known = decodeKnownVersions(bytes)
		if (!known) return false
		const { introductions } = this.options.registry.versions
		for (const { service, version } of known) introductions.confirm(service, version)
		return true
	}
}
