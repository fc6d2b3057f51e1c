/** The gateway of a box: serves callers and applies the decisions of `@stallwing/core`. */
export { type QuarantineStatus } from './lib/CrashProtection.js'
export { describeError } from './lib/describeError.js'
export { type Dialect, type HeaderNames, type MalformedRequest } from './lib/Dialect.js'
export { type StoreLayout } from './lib/StoreLayout.js'
export { Gateway } from './lib/Gateway.js'
export { newGatewayIncarnation } from './lib/newGatewayIncarnation.js'
export { type BoxCapacity, type GatewayOptions, type GatewayPorts } from './lib/GatewayOptions.js'
export { type CordonStatus, type GatewayStatus } from './lib/GatewayReport.js'
export { listenOn, type ListenAddress } from './lib/listenOn.js'
export { serveOperators } from './lib/serveOperators.js'
export {
	createProcessServices,
	type GatewayClocks,
	type ProcessServices,
} from './lib/lifecycle/createProcessServices.js'
export { controlProcess, type ProcessControls } from './lib/lifecycle/controlProcess.js'
export { isSocketAddress, parseAddress } from './lib/parseAddress.js'
export {
	SuspendAwareClock,
	systemClocks,
	type ClockSources,
	type MonotonicMillis,
	type SuspendAwareMillis,
} from './lib/SuspendAwareClock.js'
export { type RefusalKind } from './lib/Refusal.js'
