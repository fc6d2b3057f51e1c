import { Code, ConnectError, type Client } from '@connectrpc/connect'
import type { CoreAction } from '@stallwing/core'
import type { PeerService } from '@stallwing/wire'
import type { OpenCall } from './OpenCall.js'

type RelayAction = Extract<CoreAction, { kind: 'relay' }>

/** How a relayed call ended at this side. */
export type RelayOutcome =
	/** The answer, or the owner's refusal, went to the caller. */
	| { readonly kind: 'answered' }
	/** Nothing of the request left this box. */
	| { readonly kind: 'not-sent' }
	/** The owner broke off before it answered. */
	| { readonly kind: 'no-answer' }
	/** The answer broke off in the middle. */
	| { readonly kind: 'broken' }

/** Codes that a client gives before it has a connection. */
const CONNECT_ERROR_PATTERN = /ECONNREFUSED|EHOSTUNREACH|ENETUNREACH|ENOTFOUND/

/** Passes a call on to the box that owns its key, and the answer back as it comes. */
export async function relayCall(
	client: Client<typeof PeerService>,
	action: RelayAction,
	call: OpenCall,
	signal: AbortSignal,
): Promise<RelayOutcome> {
	let begun = false
	let whole = false
	try {
		for await (const { body } of client.relay(relayRequest(action, call), { signal })) {
			if (body.case === 'head') {
				begun = true
				call.sink.writeHead(body.value)
			} else if (body.case === 'data') call.sink.write(body.value)
			else if (body.case === 'end') whole = true
		}
	} catch (error) {
		return begun ? { kind: 'broken' } : outcomeOfError(error)
	}
	if (!whole) return begun ? { kind: 'broken' } : { kind: 'no-answer' }
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
	const connected = !CONNECT_ERROR_PATTERN.test(`${reason.message} ${String(reason.cause)}`)
	const unavailable = reason.code === Code.Unavailable
	return unavailable && !connected ? { kind: 'not-sent' } : { kind: 'no-answer' }
}
