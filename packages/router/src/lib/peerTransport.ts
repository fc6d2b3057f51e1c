import { readFileSync } from 'node:fs'
import { createClient, type Client, type Transport } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { PeerService } from '@stallwing/wire'
import type { RouterSettings } from './settings.js'

/** Key and certificates of a box for mTLS, PEM. */
export interface PeerTls {
	readonly key: Buffer
	readonly cert: Buffer
	readonly ca: Buffer
}

const PING_INTERVAL_MS = 5_000
const PING_TIMEOUT_MS = 2_000

/** Reads the key files that the settings name. Returns undefined if mTLS is not configured. */
export function readPeerTls(settings: RouterSettings): PeerTls | undefined {
	const { tls } = settings
	if (!tls) return undefined
	return {
		key: readFileSync(tls.keyFile),
		cert: readFileSync(tls.certFile),
		ca: readFileSync(tls.caFile),
	}
}

/** Creates an RPC client of another box over HTTP/2. */
export function createPeerClient(
	address: string,
	tls: PeerTls | undefined,
): Client<typeof PeerService> {
	const transport: Transport = createConnectTransport({
		baseUrl: address,
		httpVersion: '2',
		useBinaryFormat: true,
		pingIntervalMs: PING_INTERVAL_MS,
		pingTimeoutMs: PING_TIMEOUT_MS,
		...(tls ? { nodeOptions: { key: tls.key, cert: tls.cert, ca: tls.ca } } : {}),
	})
	return createClient(PeerService, transport)
}
