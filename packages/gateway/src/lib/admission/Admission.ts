import type { Service } from '@stallwing/core'
import type { GatewayOptions } from '../GatewayOptions.js'
import type { ReportedPart } from '../ReportedPart.js'
import { DemandSharing, type DemandSharingOptions } from './DemandSharing.js'
import { QueueingGate, type QueueingGateOptions } from './QueueingGate.js'
import { OPEN_GATE, type RequestGate } from './RequestGate.js'

export interface AdmissionOptions
	extends
		Pick<QueueingGateOptions, 'registry' | 'boxCount'>,
		Pick<DemandSharingOptions, 'datagrams' | 'peers'> {
	readonly gateway: GatewayOptions
}

/** The queueing of requests at this box, if the deployment states that it is under pressure. */
export class Admission {
	private readonly queueing:
		{ readonly gate: QueueingGate; readonly sharing: DemandSharing } | undefined

	constructor({ gateway, ...options }: AdmissionOptions) {
		if (!gateway.isUnderPressure) return
		const { box, log, metrics, now, random } = gateway
		const gate = new QueueingGate({ ...options, log, metrics, now, random })
		this.queueing = { gate, sharing: new DemandSharing({ ...options, box, gate }) }
	}

	get gate(): RequestGate {
		return this.queueing?.gate ?? OPEN_GATE
	}

	get parts(): readonly ReportedPart[] {
		return this.queueing ? [this.queueing.gate] : []
	}

	setServices(services: readonly Service[]): void {
		this.queueing?.gate.setServices(services)
	}

	start(): void {
		this.queueing?.sharing.start()
	}

	/** Answers all waiting requests. */
	refuseWaiting(): void {
		this.queueing?.gate.stop()
	}

	stop(): void {
		this.refuseWaiting()
		this.queueing?.sharing.stop()
	}
}
