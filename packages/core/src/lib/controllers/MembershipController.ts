import type { BoxName, TargetName } from '../ids.js'
import type { LoadReport } from '../router/LoadReport.js'
import { isRetired, nextView, zoneKeys } from '../membership/ZoneView.js'
import type { Member, ZoneView } from '../membership/ZoneView.js'
import type { PlatformResult } from '../platform/PlatformOp.js'
import type { MembersSection, RolesSection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { PeerMessage, ZoneAddresses } from '../router/PeerMessage.js'
import type { Millis } from '../units.js'

interface Pulse {
	member: Member
	seenAt: Millis
	drained: boolean
	view: number
	/** Change number of the other zones' rows that it was last sent. */
	zonesSent: number
}

/** What the membership controller tells the rest of the core. */
export interface MembershipHooks {
	onView(before: ZoneView, after: ZoneView): void
	onFenced(): void
	onKeeper(gained: boolean): void
	bundleVersion(): number
	offerBundle(version: number): void
	drained(): boolean
}

const PLATFORM_LOST_AFTER = 2
const LEASE_RENEWALS_PER_TTL = 2

/**
 * Heartbeats, the lease of the keeper and the numbered view of the zone.
 * The lease only saves platform calls: everything that a keeper writes is a compare-and-swap of
 * values that are right whoever writes them, so a paused keeper does no harm.
 */
export class MembershipController {
	private readonly pulses = new Map<BoxName, Pulse>()
	private viewRevision = 0
	private viewLoaded = false
	private busy = { view: false, keeper: false, renew: false, zones: false }
	private lease: string | undefined
	private heartbeatAt: Millis = -Infinity
	private renewedAt: Millis = 0
	private soughtAt: Millis = -Infinity
	private keeperSince: Millis = 0
	private zonesReadAt: Millis = -Infinity
	private readonly reports = new Map<TargetName, LoadReport>()
	private leavingTargets: readonly TargetName[] = []
	private zonesChanged = 0
	private tickedAt: Millis = 0
	private failures = 0
	private resigning = false

	constructor(
		private readonly context: CoreContext,
		private readonly section: MembersSection,
		private readonly roles: RolesSection,
		private readonly hooks: MembershipHooks,
	) {}

	/** This box as a member. */
	me(): Member {
		const { box, incarnation, address } = this.context.self
		return { box, incarnation, address, leaving: this.section.stopping }
	}

	/** Begins a planned stop. */
	stop(): void {
		this.section.stopping = true
		this.heartbeatAt = -Infinity
	}

	/** Tells the zone at the next tick, not at the next heartbeat, what is new here. */
	announce(): void {
		this.heartbeatAt = -Infinity
	}

	/** Gives the lease up, so that another box takes over at once. */
	resign(): void {
		if (!this.lease) return
		this.resigning = true
		for (const pulse of this.pulses.values()) this.sendDigest(pulse)
		this.context.callPlatform({ kind: 'lease-drop', lease: this.lease }, () => undefined)
		this.stepDown()
	}

	/** True where another member is not leaving: it is the one to be keeper. */
	othersStay(): boolean {
		const { box } = this.context.self
		return this.section.view.members.some((member) => member.box !== box && !member.leaving)
	}

	tick(): void {
		const { timing } = this.context.self
		const paused = this.context.now - this.tickedAt > timing.memberSilent / 2
		this.tickedAt = this.context.now
		// After a pause the heartbeats of the others are still unread: give them time.
		if (paused) this.keeperSince = this.context.now
		if (!this.viewLoaded) this.readView()
		if (this.context.now - this.heartbeatAt >= timing.heartbeat) this.beat()
		if (this.roles.keeper) this.keep()
		else if (this.keeperIsSilent()) this.seekKeeper()
	}

	/** Counts platform answers, to know whether it can be reached. */
	notePlatform(result: PlatformResult): void {
		if (result.kind === 'no-answer') {
			this.failures++
			if (this.failures >= PLATFORM_LOST_AFTER) this.setPlatform(false)
			return
		}
		this.failures = 0
		this.setPlatform(true)
	}

	onHeartbeat(message: Extract<PeerMessage, { kind: 'heartbeat' }>): void {
		const { member, drained, bundleVersion, view } = message
		const known = this.pulses.get(member.box)
		if (known && member.incarnation < known.member.incarnation) return
		const same = known?.member.incarnation === member.incarnation
		const zonesSent = same ? known.zonesSent : -1
		const pulse = { member, seenAt: this.context.now, drained, view, zonesSent }
		this.pulses.set(member.box, pulse)
		this.hooks.offerBundle(bundleVersion)
		const behind = view < this.section.view.number
		if (this.roles.keeper && (!same || behind)) this.sendDigest(pulse)
	}

	/** Load reports that this box collected, for the next digest. */
	shareReports(reports: readonly LoadReport[]): void {
		for (const report of reports) this.reports.set(report.target, report)
	}

	/** Targets that the platform's list calls leaving, for the digests. */
	shareLeaving(targets: readonly TargetName[]): void {
		this.leavingTargets = targets
	}

	onDigest(message: Extract<PeerMessage, { kind: 'digest' }>): void {
		if (message.term < this.section.term) return
		if (message.keeper.box !== this.context.self.box && this.roles.keeper) this.stepDown()
		this.section.term = message.term
		this.section.keeper = message.resigned ? undefined : message.keeper
		this.section.keeperSeenAt = this.context.now
		this.setPlatform(message.platformUp)
		for (const zone of message.zones) this.noteZone(zone)
		this.hooks.offerBundle(message.bundleVersion)
		if (message.view) this.takeView(message.view)
	}

	/** Takes a view if it is newer than the one held. */
	takeView(view: ZoneView): void {
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
		this.hooks.onView(before, view)
	}

	private keeperIsSilent(): boolean {
		if (!this.section.keeper) return true
		return this.context.now - this.section.keeperSeenAt > this.context.self.timing.keeperSilent
	}

	/** A stopping box leaves the role to those that stay, unless none of them takes it. */
	private mayBeKeeper(): boolean {
		const silence = this.context.now - this.section.keeperSeenAt
		const nobody = silence > this.context.self.timing.keeperLease
		return !this.section.stopping || !this.othersStay() || nobody
	}

	private beat(): void {
		this.heartbeatAt = this.context.now
		const heartbeat: PeerMessage = {
			kind: 'heartbeat',
			member: this.me(),
			view: this.section.view.number,
			bundleVersion: this.hooks.bundleVersion(),
			drained: this.section.stopping && this.hooks.drained(),
		}
		if (this.roles.keeper) {
			this.onHeartbeat(heartbeat)
			this.section.keeperSeenAt = this.context.now
			for (const pulse of this.pulses.values()) this.sendDigest(pulse)
			this.reports.clear()
			return
		}
		if (this.section.keeper) this.context.send(this.section.keeper, heartbeat)
	}

	private sendDigest(pulse: Pulse): void {
		const { member } = pulse
		if (member.box === this.context.self.box) return
		const { view, term, platformUp, zones } = this.section
		const behind = pulse.view < view.number
		const zonesDue = pulse.zonesSent < this.zonesChanged
		pulse.zonesSent = this.zonesChanged
		this.context.send(member, {
			kind: 'digest',
			...(behind ? { view } : {}),
			keeper: this.me(),
			term,
			resigned: this.resigning,
			platformUp,
			bundleVersion: this.hooks.bundleVersion(),
			zones: zonesDue ? [...zones.values()] : [],
			reports: [...this.reports.values()],
			leavingTargets: this.leavingTargets,
		})
	}

	private readView(): void {
		if (this.busy.view) return
		this.busy.view = true
		this.context.callPlatform(
			{ kind: 'get', key: zoneKeys.view(this.context.self.zone) },
			(result) => {
				this.busy.view = false
				if (result.kind === 'absent') this.viewLoaded = true
				if (result.kind !== 'value') return
				this.viewLoaded = true
				this.viewRevision = result.revision
				this.takeView(result.value as ZoneView)
			},
		)
	}

	private seekKeeper(): void {
		const { timing, zone } = this.context.self
		if (this.busy.keeper || this.context.now - this.soughtAt < timing.heartbeat) return
		this.soughtAt = this.context.now
		this.busy.keeper = true
		this.context.callPlatform({ kind: 'get', key: zoneKeys.keeper(zone) }, (result) => {
			this.busy.keeper = false
			if (result.kind === 'value') this.meetKeeper(result.value as Member, result.revision)
			if (result.kind === 'absent' && this.mayBeKeeper()) this.takeLease()
		})
	}

	private meetKeeper(keeper: Member, term: number): void {
		const mine = keeper.box === this.context.self.box
		if (mine || term < this.section.term) return
		this.section.keeper = keeper
		this.section.term = term
		this.heartbeatAt = -Infinity
	}

	private takeLease(): void {
		this.busy.keeper = true
		const ttlMs = this.context.self.timing.keeperLease
		this.context.callPlatform({ kind: 'lease-create', ttlMs }, (result) => {
			this.busy.keeper = false
			if (result.kind === 'lease') this.claimKeeper(result.lease)
		})
	}

	private claimKeeper(lease: string): void {
		this.busy.keeper = true
		const key = zoneKeys.keeper(this.context.self.zone)
		const op = { kind: 'cas', key, expected: 0, value: this.me(), lease } as const
		this.context.callPlatform(op, (result) => {
			this.busy.keeper = false
			if (result.kind === 'written') this.becomeKeeper(lease, result.revision)
		})
	}

	private becomeKeeper(lease: string, term: number): void {
		this.lease = lease
		this.roles.keeper = true
		this.keeperSince = this.context.now
		this.renewedAt = this.context.now
		this.section.keeper = this.me()
		this.section.term = term
		this.section.keeperSeenAt = this.context.now
		this.viewLoaded = false
		this.heartbeatAt = -Infinity
		this.pulses.clear()
		this.context.log('keeper-gained', { term })
		for (const member of this.section.view.members)
			this.sendDigest({ member, seenAt: 0, drained: false, view: 0, zonesSent: -1 })
		this.hooks.onKeeper(true)
	}

	private stepDown(): void {
		this.lease = undefined
		this.roles.keeper = false
		this.section.keeper = undefined
		this.pulses.clear()
		this.context.log('keeper-lost', { term: this.section.term })
		this.hooks.onKeeper(false)
	}

	private keep(): void {
		this.renew()
		this.changeView()
		this.readZones()
	}

	private renew(): void {
		const period = this.context.self.timing.keeperLease / LEASE_RENEWALS_PER_TTL
		const lease = this.lease
		if (!lease || this.busy.renew || this.context.now - this.renewedAt < period) return
		this.busy.renew = true
		this.context.callPlatform({ kind: 'lease-renew', lease }, (result) => {
			this.busy.renew = false
			this.renewedAt = this.context.now
			if (result.kind === 'lease-lost' && this.lease === lease) this.stepDown()
		})
	}

	/** Writes the next view once the boxes that are alive differ from the members. */
	private changeView(): void {
		const { timing } = this.context.self
		const settled = this.context.now - this.keeperSince >= timing.memberSilent
		const first = this.section.view.number === 0
		if (!this.viewLoaded || this.busy.view || (!settled && !first)) return
		const members = this.liveMembers()
		if (sameMembers(members, this.section.view.members)) return
		this.writeView(nextView(this.section.view, members))
	}

	private liveMembers(): Member[] {
		const members: Member[] = []
		for (const pulse of this.pulses.values()) {
			const silent = this.context.now - pulse.seenAt > this.context.self.timing.memberSilent
			if (!silent && !pulse.drained && !this.isRetired(pulse.member)) members.push(pulse.member)
			if (silent) this.pulses.delete(pulse.member.box)
		}
		return members.sort((a, b) => (a.box < b.box ? -1 : 1))
	}

	private isRetired(member: Member): boolean {
		return isRetired(this.section.view, member.box, member.incarnation)
	}

	private writeView(view: ZoneView): void {
		this.busy.view = true
		const key = zoneKeys.view(this.context.self.zone)
		const op = { kind: 'cas', key, expected: this.viewRevision, value: view } as const
		this.context.callPlatform(op, (result) => {
			this.busy.view = false
			if (result.kind !== 'written') {
				this.viewLoaded = false
				return
			}
			this.viewRevision = result.revision
			this.takeView(view)
			for (const pulse of this.pulses.values()) this.sendDigest(pulse)
		})
	}

	private readZones(): void {
		const index = this.context.board.config.index
		const due = this.context.now - this.zonesReadAt >= this.context.self.timing.zoneViews
		if (!index || !due) return
		this.zonesReadAt = this.context.now
		for (const zone of index.zones) {
			if (zone === this.context.self.zone) continue
			this.context.callPlatform({ kind: 'get', key: zoneKeys.view(zone) }, (result) => {
				if (result.kind !== 'value') return
				const { number, members } = result.value as ZoneView
				this.noteZone({ zone, view: number, members })
			})
		}
	}

	private noteZone(row: ZoneAddresses): void {
		const known = this.section.zones.get(row.zone)
		if (known && row.view <= known.view) return
		this.section.zones.set(row.zone, row)
		this.zonesChanged++
	}

	private setPlatform(up: boolean): void {
		if (this.section.platformUp === up) return
		this.section.platformUp = up
		this.context.log(up ? 'platform-back' : 'platform-lost', { keeper: this.roles.keeper })
	}
}

function sameMembers(a: readonly Member[], b: readonly Member[]): boolean {
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
