import type { AllowanceClient } from './AllowanceClient.js'
import type { FeedRelay } from './feed/FeedRelay.js'
import type { FleetMembership } from './FleetMembership.js'
import type { PeerHandlers } from './PeerServer.js'
import type { ForwardingServer } from './forwarding/ForwardingServer.js'
import type { StreamOriginSharing } from './streams/StreamOriginSharing.js'
import type { WorkSharing } from './WorkSharing.js'

/** What answers the requests of other boxes. */
export interface PeerHandlerSources {
	readonly allowance: AllowanceClient
	readonly membership: FleetMembership
	readonly workSharing: WorkSharing
	readonly streams: StreamOriginSharing
	readonly feed: FeedRelay
	readonly canAcceptTokens: () => boolean
	readonly forwarding: ForwardingServer
}

export function createPeerHandlers({
	allowance,
	membership,
	workSharing,
	streams,
	feed,
	canAcceptTokens,
	forwarding,
}: PeerHandlerSources): PeerHandlers {
	return {
		lend: (account, request) => allowance.lend(account, request),
		fleetWork: (box) => (membership.isLarge ? workSharing.fleetWork(box) : []),
		acceptTokens: (account, tokens, budgetsVersion) =>
			allowance.acceptTokens(account, tokens, budgetsVersion),
		storeDraws: (draws) => allowance.receiveDraws(draws),
		streamOrigin: (request, service) => streams.answer(request, service),
		canAcceptTokens,
		waitForChanges: (prefix, after, waitMs) => feed.handleRequest(prefix, after, waitMs),
		forward: (request, response) => forwarding.handle(request, response),
	}
}
