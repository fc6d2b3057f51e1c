import { NO_REVISION, describeRevision, type LogEvent } from '@stallwing/core'
import type { EraChange } from '@stallwing/store'
import type { ActiveTraffic } from './GatewayContext.js'

/** Log event of a restore of the store from a backup, with the configuration that was active at that time. */
export function storeRestoredEvent(
	{ era, previousEra, call }: EraChange,
	traffic: ActiveTraffic | undefined,
): LogEvent {
	const { index, revision = NO_REVISION } = traffic ?? {}
	const configuration = index?.config.version ?? -1
	return {
		name: 'store-restored',
		fields: {
			era,
			before: previousEra,
			call,
			configuration,
			revision: describeRevision(revision),
		},
	}
}
