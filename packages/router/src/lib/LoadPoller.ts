import type { LoadReport, TargetName, TargetRecord } from '@stallwing/core'
import { Agent, request } from 'undici'

const LOAD_TIMEOUT_MS = 500

/** Polls the load of targets. Only the leader of a zone polls; it shares the reports. */
export class LoadPoller {
	private readonly agent = new Agent({ connections: 1 })
	private isPolling = false

	constructor(private readonly onReports: (reports: LoadReport[]) => void) {}

	/** Polls every target once; does nothing while an earlier poll is in progress. */
	async poll(targets: readonly TargetRecord[]): Promise<void> {
		if (this.isPolling) return
		this.isPolling = true
		const reports = await Promise.all(targets.map((target) => this.fetchLoad(target)))
		this.isPolling = false
		const received = reports.filter((report) => report !== undefined)
		if (received.length > 0) this.onReports(received)
	}

	async close(): Promise<void> {
		await this.agent.destroy()
	}

	private async fetchLoad(target: TargetRecord): Promise<LoadReport | undefined> {
		try {
			const signal = AbortSignal.timeout(LOAD_TIMEOUT_MS)
			const reply = await request(`${target.url}/load`, { dispatcher: this.agent, signal })
			return readReport(target.name, await reply.body.json())
		} catch {
			return undefined
		}
	}
}

function readReport(target: TargetName, body: unknown): LoadReport | undefined {
	const report = body as Partial<LoadReport> | null
	if (!report || typeof report.running !== 'number') return undefined
	const { running, waiting = 0, leaving = false, at = Date.now() } = report
	return { target, running, waiting, leaving, at }
}
