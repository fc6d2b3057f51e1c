import type { LoadReport, TargetName, TargetRecord } from '@stallwing/core'
import { Agent, request } from 'undici'

const LOAD_TIMEOUT_MS = 500

/** Asks targets for their load. Only the keeper of a zone does; it shares what it hears. */
export class LoadPoller {
	private readonly agent = new Agent({ connections: 1 })
	private isPolling = false

	constructor(private readonly onReports: (reports: LoadReport[]) => void) {}

	/** Asks every target once; a round that is still going on is not doubled. */
	async poll(targets: readonly TargetRecord[]): Promise<void> {
		if (this.isPolling) return
		this.isPolling = true
		const reports = await Promise.all(targets.map((target) => this.fetchLoad(target)))
		this.isPolling = false
		const found = reports.filter((report) => report !== undefined)
		if (found.length > 0) this.onReports(found)
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
