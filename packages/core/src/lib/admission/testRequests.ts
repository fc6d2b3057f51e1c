import { brandId, type AccountName, type ServiceName } from '../ids.js'
import type { AdmissionRequest } from './AdmissionRequest.js'

/** Creates a request of 10 ms of work that may start within 10 s, with `changes` applied. */
export function admissionRequest(
	id: string,
	account = 'a',
	changes: Partial<AdmissionRequest> = {},
): AdmissionRequest {
	return {
		id,
		service: brandId<ServiceName>('service'),
		account: brandId<AccountName>(account),
		rank: 1,
		expectedWorkMs: 10,
		latestStartAt: 10_000,
		isEarlyReturn: false,
		...changes,
	}
}
