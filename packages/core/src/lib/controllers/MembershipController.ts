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
	/** Change number of the other zones' rows that it was last sent. */
	sentZonesVersion: number
}

/** What the membership controller tells the rest of the core. */
export interface MembershipHooks {
	onViewChange(before: ZoneView, after: ZoneView): void
	onFenced(): void
	onLeaderChange(gained: boolean): void
	bundleVersion(): number
	noteBundleVersion(version: number): void
	isDrained(): boolean
}

const PLATFORM_DOWN_FAILURES = 2
const LEASE_RENEWALS_PER_TTL = 2

/**
 * Heartbeats, the lease of the keeper and the numbered view of the zone.
 * The lease only saves platform calls: everything that a keeper writes is a compare-and-swap of
 * values that are right whoever writes them, so a paused keeper does no harm.
 */
export class MembershipController {
	private readonly heartbeats = new Map<BoxName, ReceivedHeartbeat>()
	private viewRevision = 0
	private isViewLoaded = false
	private pendingCalls = { view: false, keeper: false, renew: false, zones: false }
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

	/** This box as a member. */
	ownMember(): Member {
		const { box, incarnation, address } = this.context.self
		return { box, incarnation, address, leaving: this.section.isStopping }
	}

	/** Begins a planned stop. */
	beginStop(): void {
		this.section.isStopping = true
		this.lastHeartbeatAt = -Infinity
	}

	/** Tells the zone at the next tick, not at the next heartbeat, what is new here. */
	scheduleHeartbeat(): void {
		this.lastHeartbeatAt = -Infinity
	}

	/** Gives the lease up, so that another box takes over at once. */
	resign(): void {
		if (!this.leaseId) return
		this.isResigning = true
		for (const pulse of this.heartbeats.values()) this.sendDigest(pulse)
		this.context.callPlatform({ kind: 'lease-drop', lease: this.leaseId }, () => undefined)
		this.stepDown()
	}

	/** True where another member is not leaving: it is the one to be keeper. */
	hasStayingPeer(): boolean {
		const { box } = this.context.self
		return this.section.view.members.some((member) => member.box !== box && !member.leaving)
	}

	tick(): void {
		const { timing } = this.context.self
		const paused = this.context.now - this.lastTickAt > timing.memberTimeoutMs / 2
		this.lastTickAt = this.context.now
		// After a pause the heartbeats of the others are still unread: give them time.
		if (paused) this.leaderSince = this.context.now
		if (!this.isViewLoaded) this.readView()
		if (this.context.now - this.lastHeartbeatAt >= timing.heartbeatPeriodMs) this.sendHeartbeat()
		if (this.roles.isLeader) this.runLeaderDuties()
		else if (this.isLeaderSilent()) this.queryLeader()
	}

	/** Counts platform answers, to know whether it can be reached. */
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
		const known = this.heartbeats.get(member.box)
		if (known && member.incarnation < known.member.incarnation) return
		const same = known?.member.incarnation === member.incarnation
		const zonesSent = same ? known.sentZonesVersion : -1
		const pulse = {
			member,
			receivedAt: this.context.now,
			isDrained: drained,
			viewNumber: view,
			sentZonesVersion: zonesSent,
		}
		this.heartbeats.set(member.box, pulse)
		this.hooks.noteBundleVersion(bundleVersion)
		const behind = view < this.section.view.number
		if (this.roles.isLeader && (!same || behind)) this.sendDigest(pulse)
	}

	/** Load reports that this box collected, for the next digest. */
	addLoadReports(reports: readonly LoadReport[]): void {
		for (const report of reports) this.pendingLoadReports.set(report.target, report)
	}

	/** Targets that the platform's list calls leaving, for the digests. */
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

	/** Takes a view if it is newer than the one held. */
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

	/** A stopping box leaves the role to those that stay, unless none of them takes it. */
	private canBecomeLeader(): boolean {
		const silence = this.context.now - this.section.leaderSeenAt
		const nobody = silence > this.context.self.timing.leaderLeaseMs
		return !this.section.isStopping || !this.hasStayingPeer() || nobody
	}

	private sendHeartbeat(): void {
		this.lastHeartbeatAt = this.context.now
		const heartbeat: PeerMessage = {
			kind: 'heartbeat',
			member: this.ownMember(),
			view: this.section.view.number,
			bundleVersion: this.hooks.bundleVersion(),
			drained: this.section.isStopping && this.hooks.isDrained(),
		}
		if (this.roles.isLeader) {
			this.onHeartbeat(heartbeat)
			this.section.leaderSeenAt = this.context.now
			for (const pulse of this.heartbeats.values()) this.sendDigest(pulse)
			this.pendingLoadReports.clear()
			return
		}
		if (this.section.leader) this.context.send(this.section.leader, heartbeat)
	}

	private sendDigest(pulse: ReceivedHeartbeat): void {
		const { member } = pulse
		if (member.box === this.context.self.box) return
		const { view, term, isPlatformUp: platformUp, zones } = this.section
		const behind = pulse.viewNumber < view.number
		const zonesDue = pulse.sentZonesVersion < this.zonesVersion
		pulse.sentZonesVersion = this.zonesVersion
		this.context.send(member, {
			kind: 'digest',
			...(behind ? { view } : {}),
			keeper: this.ownMember(),
			term,
			resigned: this.isResigning,
			platformUp,
			bundleVersion: this.hooks.bundleVersion(),
			zones: zonesDue ? [...zones.values()] : [],
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
			this.pendingCalls.keeper ||
			this.context.now - this.lastLeaderQueryAt < timing.heartbeatPeriodMs
		)
			return
		this.lastLeaderQueryAt = this.context.now
		this.pendingCalls.keeper = true
		this.context.callPlatform({ kind: 'get', key: zoneKeys.keeper(zone) }, (result) => {
			this.pendingCalls.keeper = false
			if (result.kind === 'value') this.followLeader(result.value as Member, result.revision)
			if (result.kind === 'absent' && this.canBecomeLeader()) this.createLease()
		})
	}

	private followLeader(keeper: Member, term: number): void {
		const mine = keeper.box === this.context.self.box
		if (mine || term < this.section.term) return
		this.section.leader = keeper
		this.section.term = term
		this.lastHeartbeatAt = -Infinity
	}

	private createLease(): void {
		this.pendingCalls.keeper = true
		const ttlMs = this.context.self.timing.leaderLeaseMs
		this.context.callPlatform({ kind: 'lease-create', ttlMs }, (result) => {
			this.pendingCalls.keeper = false
			if (result.kind === 'lease') this.claimLeadership(result.lease)
		})
	}

	private claimLeadership(lease: string): void {
		this.pendingCalls.keeper = true
		const key = zoneKeys.keeper(this.context.self.zone)
		const op = { kind: 'cas', key, expected: 0, value: this.ownMember(), lease } as const
		this.context.callPlatform(op, (result) => {
			this.pendingCalls.keeper = false
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

	/** Writes the next view once the boxes that are alive differ from the members. */
	private updateView(): void {
		const { timing } = this.context.self
		const settled = this.context.now - this.leaderSince >= timing.memberTimeoutMs
		const first = this.section.view.number === 0
		if (!this.isViewLoaded || this.pendingCalls.view || (!settled && !first)) return
		const members = this.liveMembers()
		if (areMembersEqual(members, this.section.view.members)) return
		this.writeView(nextView(this.section.view, members))
	}

	private liveMembers(): Member[] {
		const members: Member[] = []
		for (const pulse of this.heartbeats.values()) {
			const silent = this.context.now - pulse.receivedAt > this.context.self.timing.memberTimeoutMs
			if (!silent && !pulse.isDrained && !this.isRetired(pulse.member)) members.push(pulse.member)
			if (silent) this.heartbeats.delete(pulse.member.box)
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
			for (const pulse of this.heartbeats.values()) this.sendDigest(pulse)
		})
	}

	private readOtherZones(): void {
		const index = this.context.blackboard.config.index
		const due =
			this.context.now - this.lastZonesReadAt >= this.context.self.timing.zoneViewsPeriodMs
		if (!index || !due) return
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
		const known = this.section.zones.get(row.zone)
		if (known && row.view <= known.view) return
		this.section.zones.set(row.zone, row)
		this.zonesVersion++
	}

	private setPlatformUp(up: boolean): void {
		if (this.section.isPlatformUp === up) return
		this.section.isPlatformUp = up
		this.context.log(up ? 'platform-back' : 'platform-lost', { keeper: this.roles.isLeader })
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
