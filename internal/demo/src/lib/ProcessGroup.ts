import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

const READY_TIMEOUT_MS = 20_000
const KILL_TIMEOUT_MS = 35_000

/** A child process that has reported that it is ready. */
export interface StartedProcess {
	readonly child: ChildProcess
	/** First JSON line that the process printed. */
	readonly readyMessage: Record<string, unknown>
	readonly exited: Promise<number | null>
}

/** Starts child processes and stops only those. Stallwing processes have no children of their own. */
export class ProcessGroup {
	private readonly running = new Set<StartedProcess>()

	/** Starts a Node program and waits for its first JSON line on the given stream. */
	async start(
		args: readonly string[],
		readyOn: 'stdout' | 'stderr',
		onLine: (line: string) => void = () => undefined,
	): Promise<StartedProcess> {
		const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
		const exited = new Promise<number | null>((resolve) => child.on('exit', resolve))
		const ready = this.readReadyMessage(child, readyOn, onLine)
		const failed = exited.then((code) => {
			throw new ProcessFailed(args.join(' '), code)
		})
		const readyMessage = await Promise.race([ready, failed])
		const startedProcess: StartedProcess = { child, readyMessage, exited }
		this.running.add(startedProcess)
		void exited.then(() => this.running.delete(startedProcess))
		return startedProcess
	}

	/** Runs a Node program until it exits, and returns its exit code and output. */
	async run(args: readonly string[]): Promise<{ code: number | null; out: string; err: string }> {
		const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
		let out = ''
		let err = ''
		child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()))
		child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()))
		const code = await new Promise<number | null>((resolve) => child.on('close', resolve))
		return { code, out, err }
	}

	/** Stops all running processes and waits until they have exited. */
	stopAll(): Promise<void> {
		return this.stop([...this.running])
	}

	/** Sends SIGTERM and waits until the processes have exited. Sends SIGKILL after a timeout. */
	async stop(processes: readonly StartedProcess[]): Promise<void> {
		for (const startedProcess of processes) {
			startedProcess.child.kill('SIGCONT')
			startedProcess.child.kill('SIGTERM')
		}
		const timer = setTimeout(() => {
			for (const startedProcess of processes) startedProcess.child.kill('SIGKILL')
		}, KILL_TIMEOUT_MS)
		await Promise.all(processes.map((startedProcess) => startedProcess.exited))
		clearTimeout(timer)
	}

	private readReadyMessage(
		child: ChildProcess,
		readyOn: 'stdout' | 'stderr',
		onLine: (line: string) => void,
	): Promise<Record<string, unknown>> {
		return new Promise((resolve, reject) => {
			const timer = setTimeout(
				() => reject(new ProcessFailed('process without a ready message', null)),
				READY_TIMEOUT_MS,
			)
			for (const streamName of ['stdout', 'stderr'] as const) {
				const stream = child[streamName]
				if (!stream) continue
				createInterface({ input: stream }).on('line', (line) => {
					if (streamName === readyOn && line.startsWith('{')) {
						clearTimeout(timer)
						resolve(JSON.parse(line) as Record<string, unknown>)
					}
					onLine(line)
				})
			}
		})
	}
}

/** Thrown when a process exits or times out before it is ready. */
export class ProcessFailed extends Error {
	readonly kind = 'process-failed'
	constructor(
		readonly command: string,
		readonly exitCode: number | null,
	) {
		super(`${command} exited with code ${String(exitCode)} before it was ready`)
	}
}
