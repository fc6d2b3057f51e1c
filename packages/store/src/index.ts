/** Clients of the platform: key-value store, list of boxes, and bundles. */
export {
	DEFAULT_PLATFORM_TIMEOUT_MS,
	PlatformClient,
	PlatformUnavailableError,
	type PlatformClientOptions,
} from './lib/PlatformClient.js'
export {
	checkAccepted,
	checkProposal,
	hashText,
	makeOperatorKey,
	signHash,
	type BundleDocument,
	type BundleSignature,
	type DocumentFault,
	type OperatorKey,
} from './lib/BundleDocument.js'
export { BundleStore, type BundleHead, type BundleStoreFault } from './lib/BundleStore.js'
export { describeFileFault, locateFault, parseJsonc, type FileFault } from './lib/jsonc.js'
export { readDocument, type UnreadableDocument } from './lib/readDocument.js'
export { ChangeLog } from './lib/ChangeLog.js'
export {
	type WatchableStore,
	type KeyValueStore,
	type StoreChange,
	type StoreFault,
	type StoreItem,
	type StoreLease,
	type StoreListing,
	type WriteResult,
} from './lib/KeyValueStore.js'
export {
	EraTrackingStore,
	type EraChange,
	type EraTrackingStoreOptions,
} from './lib/EraTrackingStore.js'
export { parseEra, type EraResponse, type StoreConnection } from './lib/StoreConnection.js'
export {
	PrefixFollower,
	type PrefixFollowerOptions,
	type StoreContact,
} from './lib/PrefixFollower.js'
export { InputTimeout } from './lib/InputTimeout.js'
export { AnswerTimeouts, LATE_ANSWER_TIMEOUT_MS } from './lib/AnswerTimeouts.js'
export { nextEventLoopIteration } from './lib/nextEventLoopIteration.js'
export {
	HttpClient,
	type HttpRequest,
	type HttpClientOptions,
	type HttpResponse,
} from './lib/HttpClient.js'
