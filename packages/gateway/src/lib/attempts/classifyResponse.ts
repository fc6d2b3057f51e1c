import type { Dialect } from '../Dialect.js'
import { isSuccess } from '../isSuccess.js'
import type { ResponseHead } from '../sendToTarget.js'

const EVENT_STREAM_TYPE = 'text/event-stream'
/** Statuses from this one on are failures of the target. */
const MIN_FAILURE_STATUS = 500

/** True if a response belongs to the request and, for a success, comes from a target. */
export function isResponseTo(requestId: string, head: ResponseHead, { headers }: Dialect): boolean {
	const id = head.headers[headers.requestId]
	if (id !== undefined && id !== requestId) return false
	return (
		!isSuccess(head.status) || (id !== undefined && head.headers[headers.signature] !== undefined)
	)
}

/** True if the target is not the one that was meant. */
export function isFromWrongTarget(head: ResponseHead, { wrongTargetStatus }: Dialect): boolean {
	return head.status === wrongTargetStatus
}

/** True if the target states that it did not run the request. */
export function isRejection(head: ResponseHead, dialect: Dialect): boolean {
	return isFromWrongTarget(head, dialect) || head.headers[dialect.headers.notRun] !== undefined
}

/** True if the response reports a failure of the target. */
export function isFailure({ status }: ResponseHead): boolean {
	return status >= MIN_FAILURE_STATUS
}

/** True if the response is a stream of events. */
export function isEventStream({ headers, status }: ResponseHead): boolean {
	return isSuccess(status) && String(headers['content-type'] ?? '').startsWith(EVENT_STREAM_TYPE)
}
