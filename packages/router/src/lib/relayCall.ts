import { Code, ConnectError, type Client } from '@connectrpc/connect'
import type { CoreAction } from '@stallwing/core'
import type { PeerService } from '@stallwing/wire'
import type { OpenCall } from './OpenCall.js'

type RelayAction = Extract<CoreAction, { kind: 'relay' }>

/** Outcome of a relayed call at the relaying box. */
export type RelayOutcome =
	/** The complete response of the owner, or its refusal, was sent to the caller. */
	| { readonly kind: 'answered' }
	/** No byte of the request was sent. */
	| { readonly kind: 'not-sent' }
	/** The call failed before the owner sent a response head. */
	| { readonly kind: 'no-answer' }
	/** The response ended before it was complete. */
	| { readonly kind: 'broken' }

/** Error codes of a client that could not connect. */
const CONNECT_ERROR_PATTERN = /ECONNREFUSED|EHOSTUNREACH|ENETUNREACH|ENOTFOUND/

/** Relays a call to the owner of its idempotency key and streams the response to the caller. */
export async function relayCall(
	client: Client<typeof PeerService>,
	action: RelayAction,
	call: OpenCall,
	signal: AbortSignal,
): Promise<RelayOutcome> {
	let hasSentHead = false
	let isComplete = false
	try {
		for await (const { body } of client.relay(relayRequest(action, call), { signal })) {
			if (body.case === 'head') {
				hasSentHead = true
				call.sink.writeHead(body.value)
			} else if (body.case === 'data') call.sink.write(body.value)
			else if (body.case === 'end') isComplete = true
		}
	} catch (error) {
		return hasSentHead ? { kind: 'broken' } : outcomeOfError(error)
	}
	if (!isComplete) return hasSentHead ? { kind: 'broken' } : { kind: 'no-answer' }
	call.sink.end()
	return { kind: 'answered' }
}

function relayRequest(action: RelayAction, call: OpenCall) {
	const { request, outgoing, callerPath } = call
	return {
		account: action.account,
		key: action.key,
		method: outgoing.method,
		path: callerPath,
		contentType: outgoing.contentType,
		body: outgoing.body,
		priority: request.priority,
		repeatable: request.repeatable,
		...(request.budget === undefined ? {} : { budget: request.budget }),
		deadline: request.deadline,
		hops: request.hops + 1,
	}
}

function outcomeOfError(error: unknown): RelayOutcome {
	const reason = ConnectError.from(error)
	const hadConnection = !CONNECT_ERROR_PATTERN.test(`${reason.message} ${String(reason.cause)}`)
	const isUnavailable = reason.code === Code.Unavailable
	return isUnavailable && !hadConnection ? { kind: 'not-sent' } : { kind: 'no-answer' }
}
