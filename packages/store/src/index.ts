/** Client of the platform: key-value service, box list, bundles. */
export {
	DEFAULT_PLATFORM_TIMEOUT_MS,
	PlatformClient,
	PlatformUnavailable,
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
	type FollowedStore,
	type KeyValueStore,
	type StoreChange,
	type StoreFault,
	type StoreItem,
	type StoreLease,
	type StoreListing,
	type WriteResult,
} from './lib/KeyValueStore.js'
export { EraStore, type EraChange, type EraStoreOptions } from './lib/EraStore.js'
export { readEra, type EraAnswer, type StoreConnection } from './lib/StoreConnection.js'
export { PrefixFollower, type FollowerOptions, type StoreContact } from './lib/PrefixFollower.js'
export {
	HttpCaller,
	type HttpCall,
	type HttpCallerOptions,
	type HttpReply,
} from './lib/HttpCaller.js'
