/** Stand-ins for what stallwing meets outside: platform, model engine, plain service. */
export { KvStore, type CallCounts } from './lib/KvStore.js'
export { type RunningStandin } from './lib/httpHelpers.js'
export {
	DEFAULT_PLATFORM_OPTIONS,
	startPlatform,
	type ListedBox,
	type PlatformFaults,
	type PlatformOptions,
} from './lib/startPlatform.js'
export {
	MemoryStore,
	type CallFate,
	type MemoryStoreCopy,
	type MemoryStoreOptions,
} from './lib/MemoryStore.js'
export { DEFAULT_ENGINE_MODEL, type EngineModel } from './lib/EngineScheduler.js'
export { DEFAULT_ENGINE_OPTIONS, startEngine, type EngineOptions } from './lib/startEngine.js'
export { CrashingTarget, type CrashingTargetOptions } from './lib/CrashingTarget.js'
export {
	NotifyingTarget,
	type NotifiedRequest,
	type NotifyingAnswer,
	type NotifyingTargetOptions,
} from './lib/NotifyingTarget.js'
export { startService, type ServiceOptions } from './lib/startService.js'
export { NO_TARGET_FAULTS, type TargetFaults } from './lib/targetFaults.js'
export { PLAIN_HEADERS, PLAIN_OWN_HEADER } from './lib/plainHeaders.js'
