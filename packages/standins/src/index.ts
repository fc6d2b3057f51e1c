/** Stand-ins for the external systems of stallwing: the platform and its store, model engines, other targets. */
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
	type CallOutcome,
	type MemoryStoreSnapshot,
	type MemoryStoreOptions,
} from './lib/MemoryStore.js'
export { DEFAULT_ENGINE_MODEL, type EngineModel } from './lib/EngineScheduler.js'
export { DEFAULT_ENGINE_OPTIONS, startEngine, type EngineOptions } from './lib/startEngine.js'
export { BrittleTarget, type BrittleTargetOptions } from './lib/BrittleTarget.js'
export { CrashingTarget, type CrashingTargetOptions } from './lib/CrashingTarget.js'
export {
	NotifyingTarget,
	type ReceivedRequest,
	type NotifyingResponse,
	type NotifyingTargetOptions,
} from './lib/NotifyingTarget.js'
export { ownLoopbackHost } from './lib/ownLoopbackHost.js'
export { startService, type ServiceOptions } from './lib/startService.js'
export { NO_TARGET_FAULTS, type TargetFaults } from './lib/targetFaults.js'
export {
	STANDIN_HEADERS,
	STANDIN_HEALTH_PATH,
	STANDIN_HEADER_PATTERN,
} from './lib/standinHeaders.js'
