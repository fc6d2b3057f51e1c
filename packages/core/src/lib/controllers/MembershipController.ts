import type { BoxName, TargetName } from '../ids.js'
import type { LoadReport } from '../router/LoadReport.js'
import { isRetired, nextView, zoneKeys } from '../membership/ZoneView.js'
import type { Member, ZoneView } from '../membership/ZoneView.js'
import type { PlatformResult } from '../platform/PlatformOp.js'
import type { MembersSection, RolesSection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { PeerMessage, ZoneMembers } from '../router/PeerMessage.js'
import type { Millis } from '../units.js'

interface ReceivedHeartbeat {
	member: Member
	receivedAt: Millis
	isDrained: boolean
	viewNumber: number
	/** `zonesVersion` when the last digest was sent to the box; -1 if none was. */
	sentZonesVersion: number
}

/** Callbacks of a {@link MembershipController}. */
export interface MembershipHooks {
	onViewChange(before: ZoneView, after: ZoneView): void
	onFenced(): void
	onLeaderChange(isLeader: boolean): void
	bundleVersion(): number
	noteBundleVersion(version: number): void
	isDrained(): boolean
}

const PLATFORM_DOWN_FAILURES = 2
const LEASE_RENEWALS_PER_TTL = 2

/**
 * Manages the membership of the zone: heartbeats, leader election by a lease and the numbered view. Safety does not
 * depend on the lease: a leader writes only by compare-and-swap, so a paused leader cannot overwrite newer values.
 */
export class MembershipController {
	private readonly heartbeats = new Map<BoxName, ReceivedHeartbeat>()
	private viewRevision = 0
	private isViewLoaded = false
	private pendingCalls = { view: false, leader: false, renew: false, zones: false }
	private leaseId: string | undefined
	private lastHeartbeatAt: Millis = -Infinity
	private lastRenewalAt: Millis = 0
	private lastLeaderQueryAt: Millis = -Infinity
	private leaderSince: Millis = 0
	private lastZonesReadAt: Millis = -Infinity
	private readonly pendingLoadReports = new Map<TargetName, LoadReport>()
	private leavingTargets: readonly TargetName[] = []
	private zonesVersion = 0
	private lastTickAt: Millis = 0
	private consecutivePlatformFailures = 0
	private isResigning = false

	constructor(
		private readonly context: CoreContext,
		private readonly section: MembersSection,
		private readonly roles: RolesSection,
		private readonly hooks: MembershipHooks,
	) {}

	/** Returns this box as a member. */
	ownMember(): Member {
		const { box, incarnation, address } = this.context.self
		return { box, incarnation, address, leaving: this.section.isStopping }
	}

	/** Begins a planned stop. */
	beginStop(): void {
		this.section.isStopping = true
		this.lastHeartbeatAt = -Infinity
	}

	/** Makes the next tick send a heartbeat. */
	scheduleHeartbeat(): void {
		this.lastHeartbeatAt = -Infinity
	}

	/** Resigns as the leader and drops the lease, so that another box can take over immediately. */
	resign(): void {
		if (!this.leaseId) return
		this.isResigning = true
		for (const heartbeat of this.heartbeats.values()) this.sendDigest(heartbeat)
		this.context.callPlatform({ kind: 'lease-drop', lease: this.leaseId }, () => undefined)
		this.stepDown()
	}

	/** True if another member is not leaving and can become the leader. */
	hasStayingPeer(): boolean {
		const { box } = this.context.self
		return this.section.view.members.some((member) => member.box !== box && !member.leaving)
	}

	tick(): void {
		const { timing } = this.context.self
		const wasPaused = this.context.now - this.lastTickAt > timing.memberTimeoutMs / 2
		this.lastTickAt = this.context.now
		// After a pause, the heartbeats of other boxes have not been processed yet. Restart their timeout.
		if (wasPaused) this.leaderSince = this.context.now
		if (!this.isViewLoaded) this.readView()
		if (this.context.now - this.lastHeartbeatAt >= timing.heartbeatPeriodMs) this.sendHeartbeat()
		if (this.roles.isLeader) this.runLeaderDuties()
		else if (this.isLeaderSilent()) this.queryLeader()
	}

	/** Counts consecutive failures to determine whether the platform is reachable. */
	notePlatformResult(result: PlatformResult): void {
		if (result.kind === 'no-answer') {
			this.consecutivePlatformFailures++
			if (this.consecutivePlatformFailures >= PLATFORM_DOWN_FAILURES) this.setPlatformUp(false)
			return
		}
		this.consecutivePlatformFailures = 0
		this.setPlatformUp(true)
	}

	onHeartbeat(message: Extract<PeerMessage, { kind: 'heartbeat' }>): void {
		const { member, drained, bundleVersion, view } = message
		const previous = this.heartbeats.get(member.box)
		if (previous && member.incarnation < previous.member.incarnation) return
		const isSameIncarnation = previous?.member.incarnation === member.incarnation
		const sentZonesVersion = isSameIncarnation ? previous.sentZonesVersion : -1
		const heartbeat = {
			member,
			receivedAt: this.context.now,
			isDrained: drained,
			viewNumber: view,
			sentZonesVersion,
		}
		this.heartbeats.set(member.box, heartbeat)
		this.hooks.noteBundleVersion(bundleVersion)
		const isOutdated = view < this.section.view.number
		if (this.roles.isLeader && (!isSameIncarnation || isOutdated)) this.sendDigest(heartbeat)
	}

	/** Adds load reports, which the next digest contains. */
	addLoadReports(reports: readonly LoadReport[]): void {
		for (const report of reports) this.pendingLoadReports.set(report.target, report)
	}

	/** Sets the targets that are leaving according to the list on the platform, for the digests. */
	setLeavingTargets(targets: readonly TargetName[]): void {
		this.leavingTargets = targets
	}

	onDigest(message: Extract<PeerMessage, { kind: 'digest' }>): void {
		if (message.term < this.section.term) return
		if (message.keeper.box !== this.context.self.box && this.roles.isLeader) this.stepDown()
		this.section.term = message.term
		this.section.leader = message.resigned ? undefined : message.keeper
		this.section.leaderSeenAt = this.context.now
		this.setPlatformUp(message.platformUp)
		for (const zone of message.zones) this.updateZone(zone)
		this.hooks.noteBundleVersion(message.bundleVersion)
		if (message.view) this.applyView(message.view)
	}

	/** Applies a view if it is newer than the current one. */
	applyView(view: ZoneView): void {
		const before = this.section.view
		if (view.number <= before.number) return
		const { box, incarnation } = this.context.self
		this.section.view = view
		this.context.log('view-changed', {
			view: view.number,
			members: view.members.map((entry) => `${entry.box}#${entry.incarnation}`),
		})
		if (isRetired(view, box, incarnation)) {
			this.hooks.onFenced()
			return
		}
		this.hooks.onViewChange(before, view)
	}

	private isLeaderSilent(): boolean {
		if (!this.section.leader) return true
		return this.context.now - this.section.leaderSeenAt > this.context.self.timing.leaderTimeoutMs
	}

	/** False for a stopping box, unless no staying box has become the leader within the lease time. */
	private canBecomeLeader(): boolean {
		const silentMs = this.context.now - this.section.leaderSeenAt
		const hasNoLeader = silentMs > this.context.self.timing.leaderLeaseMs
		return !this.section.isStopping || !this.hasStayingPeer() || hasNoLeader
	}

	private sendHeartbeat(): void {
		this.lastHeartbeatAt = this.context.now
		const message: PeerMessage = {
			kind: 'heartbeat',
			member: this.ownMember(),
			view: this.section.view.number,
			bundleVersion: this.hooks.bundleVersion(),
			drained: this.section.isStopping && this.hooks.isDrained(),
		}
		if (this.roles.isLeader) {
			this.onHeartbeat(message)
			this.section.leaderSeenAt = this.context.now
			for (const heartbeat of this.heartbeats.values()) this.sendDigest(heartbeat)
			this.pendingLoadReports.clear()
			return
		}
		if (this.section.leader) this.context.send(this.section.leader, message)
	}

	private sendDigest(heartbeat: ReceivedHeartbeat): void {
		const { member } = heartbeat
		if (member.box === this.context.self.box) return
		const { view, term, isPlatformUp, zones } = this.section
		const isOutdated = heartbeat.viewNumber < view.number
		const areZonesDue = heartbeat.sentZonesVersion < this.zonesVersion
		heartbeat.sentZonesVersion = this.zonesVersion
		this.context.send(member, {
			kind: 'digest',
			...(isOutdated ? { view } : {}),
			keeper: this.ownMember(),
			term,
			resigned: this.isResigning,
			platformUp: isPlatformUp,
			bundleVersion: this.hooks.bundleVersion(),
			zones: areZonesDue ? [...zones.values()] : [],
			reports: [...this.pendingLoadReports.values()],
			leavingTargets: this.leavingTargets,
		})
	}

	private readView(): void {
		if (this.pendingCalls.view) return
		this.pendingCalls.view = true
		this.context.callPlatform(
			{ kind: 'get', key: zoneKeys.view(this.context.self.zone) },
			(result) => {
				this.pendingCalls.view = false
				if (result.kind === 'absent') this.isViewLoaded = true
				if (result.kind !== 'value') return
				this.isViewLoaded = true
				this.viewRevision = result.revision
				this.applyView(result.value as ZoneView)
			},
		)
	}

	private queryLeader(): void {
		const { timing, zone } = this.context.self
		if (
			this.pendingCalls.leader ||
			this.context.now - this.lastLeaderQueryAt < timing.heartbeatPeriodMs
		)
			return
		this.lastLeaderQueryAt = this.context.now
		this.pendingCalls.leader = true
		this.context.callPlatform({ kind: 'get', key: zoneKeys.leader(zone) }, (result) => {
			this.pendingCalls.leader = false
			if (result.kind === 'value') this.followLeader(result.value as Member, result.revision)
			if (result.kind === 'absent' && this.canBecomeLeader()) this.createLease()
		})
	}

	private followLeader(leader: Member, term: number): void {
		const isSelf = leader.box === this.context.self.box
		if (isSelf || term < this.section.term) return
		this.section.leader = leader
		this.section.term = term
		this.lastHeartbeatAt = -Infinity
	}

	private createLease(): void {
		this.pendingCalls.leader = true
		const ttlMs = this.context.self.timing.leaderLeaseMs
		this.context.callPlatform({ kind: 'lease-create', ttlMs }, (result) => {
			this.pendingCalls.leader = false
			if (result.kind === 'lease') this.claimLeadership(result.lease)
		})
	}

	private claimLeadership(lease: string): void {
		this.pendingCalls.leader = true
		const key = zoneKeys.leader(this.context.self.zone)
		const op = { kind: 'cas', key, expected: 0, value: this.ownMember(), lease } as const
		this.context.callPlatform(op, (result) => {
			this.pendingCalls.leader = false
			if (result.kind === 'written') this.becomeLeader(lease, result.revision)
		})
	}

	private becomeLeader(lease: string, term: number): void {
		this.leaseId = lease
		this.roles.isLeader = true
		this.leaderSince = this.context.now
		this.lastRenewalAt = this.context.now
		this.section.leader = this.ownMember()
		this.section.term = term
		this.section.leaderSeenAt = this.context.now
		this.isViewLoaded = false
		this.lastHeartbeatAt = -Infinity
		this.heartbeats.clear()
		this.context.log('keeper-gained', { term })
		for (const member of this.section.view.members)
			this.sendDigest({
				member,
				receivedAt: 0,
				isDrained: false,
				viewNumber: 0,
				sentZonesVersion: -1,
			})
		this.hooks.onLeaderChange(true)
	}

	private stepDown(): void {
		this.leaseId = undefined
		this.roles.isLeader = false
		this.section.leader = undefined
		this.heartbeats.clear()
		this.context.log('keeper-lost', { term: this.section.term })
		this.hooks.onLeaderChange(false)
	}

	private runLeaderDuties(): void {
		this.renewLease()
		this.updateView()
		this.readOtherZones()
	}

	private renewLease(): void {
		const period = this.context.self.timing.leaderLeaseMs / LEASE_RENEWALS_PER_TTL
		const lease = this.leaseId
		if (!lease || this.pendingCalls.renew || this.context.now - this.lastRenewalAt < period) return
		this.pendingCalls.renew = true
		this.context.callPlatform({ kind: 'lease-renew', lease }, (result) => {
			this.pendingCalls.renew = false
			this.lastRenewalAt = this.context.now
			if (result.kind === 'lease-lost' && this.leaseId === lease) this.stepDown()
		})
	}

	/** Writes a new view if the live boxes differ from the members. */
	private updateView(): void {
		const { timing } = this.context.self
		const hasWaited = this.context.now - this.leaderSince >= timing.memberTimeoutMs
		const isFirstView = this.section.view.number === 0
		if (!this.isViewLoaded || this.pendingCalls.view || (!hasWaited && !isFirstView)) return
		const members = this.liveMembers()
		if (areMembersEqual(members, this.section.view.members)) return
		this.writeView(nextView(this.section.view, members))
	}

	private liveMembers(): Member[] {
		const members: Member[] = []
		for (const heartbeat of this.heartbeats.values()) {
			const isSilent =
				this.context.now - heartbeat.receivedAt > this.context.self.timing.memberTimeoutMs
			if (!isSilent && !heartbeat.isDrained && !this.isRetired(heartbeat.member))
				members.push(heartbeat.member)
			if (isSilent) this.heartbeats.delete(heartbeat.member.box)
		}
		return members.sort((a, b) => (a.box < b.box ? -1 : 1))
	}

	private isRetired(member: Member): boolean {
		return isRetired(this.section.view, member.box, member.incarnation)
	}

	private writeView(view: ZoneView): void {
		this.pendingCalls.view = true
		const key = zoneKeys.view(this.context.self.zone)
		const op = { kind: 'cas', key, expected: this.viewRevision, value: view } as const
		this.context.callPlatform(op, (result) => {
			this.pendingCalls.view = false
			if (result.kind !== 'written') {
				this.isViewLoaded = false
				return
			}
			this.viewRevision = result.revision
			this.applyView(view)
			for (const heartbeat of this.heartbeats.values()) this.sendDigest(heartbeat)
		})
	}

	private readOtherZones(): void {
		const index = this.context.blackboard.config.index
		const isDue =
			this.context.now - this.lastZonesReadAt >= this.context.self.timing.zoneViewsPeriodMs
		if (!index || !isDue) return
		this.lastZonesReadAt = this.context.now
		for (const zone of index.zones) {
			if (zone === this.context.self.zone) continue
			this.context.callPlatform({ kind: 'get', key: zoneKeys.view(zone) }, (result) => {
				if (result.kind !== 'value') return
				const { number, members } = result.value as ZoneView
				this.updateZone({ zone, view: number, members })
			})
		}
	}

	private updateZone(row: ZoneMembers): void {
		const current = this.section.zones.get(row.zone)
		if (current && row.view <= current.view) return
		this.section.zones.set(row.zone, row)
		this.zonesVersion++
	}

	private setPlatformUp(isUp: boolean): void {
		if (this.section.isPlatformUp === isUp) return
		this.section.isPlatformUp = isUp
		this.context.log(isUp ? 'platform-back' : 'platform-lost', { keeper: this.roles.isLeader })
	}
}

function areMembersEqual(a: readonly Member[], b: readonly Member[]): boolean {
	if (a.length !== b.length) return false
	return a.every((member, i) => {
		const other = b[i]
		return (
			other !== undefined &&
			member.box === other.box &&
			member.incarnation === other.incarnation &&
			member.leaving === other.leaving
		)
	})
}
