import type { FeedRelay } from './FeedRelay.js'
import type { GatewayContext } from '../GatewayContext.js'
import type { GatewayOptions } from '../GatewayOptions.js'
import { boxDelays } from '../exchangeEvents.js'
import { ConfigurationMonitor } from './ConfigurationMonitor.js'

export interface ConfigurationMonitorSources {
	readonly gateway: Pick<GatewayOptions, 'storeLayout' | 'now' | 'log'>
	readonly feed: Pick<FeedRelay, 'sourceStatus'>
	readonly context: GatewayContext
}

/** Creates what logs whether the configuration of this box is confirmed. */
export function createConfigurationMonitor({
	context,
	feed,
	gateway,
}: ConfigurationMonitorSources): ConfigurationMonitor {
	return new ConfigurationMonitor({
		version: () => context.traffic?.index.config.version,
		isCurrent: () => context.isConfigurationCurrent(),
		confirmationAgeMs: () => context.configurationConfirmationAgeMs(),
		sources: () => feed.sourceStatus(gateway.storeLayout.configPrefix),
		delays: () => boxDelays(context),
		now: gateway.now,
		log: gateway.log,
	})
}
