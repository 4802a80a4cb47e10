/** Links in a thread of their own, and the connections that this process opens. */
import { channel } from 'node:diagnostics_channel'
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { buildSync } from 'esbuild'
import type { Peer } from '../../src/link/index.ts'
import type { LinkPeerOptions, SentReply } from './delayedEcho.ts'

export interface LinkPeers {
  readonly peers: readonly Peer[]
  /** When the peers replied, by the text of the request, on the system clock. */
  readonly repliedAt: ReadonlyMap<string, number>
  readonly close: () => Promise<unknown>
}

/** Starts peers that answer the delayed echo. */
export async function startLinkPeers (options: LinkPeerOptions): Promise<LinkPeers> {
  const { outputFiles } = buildSync({ entryPoints: ['test/fakes/linkPeerWorker.ts'], bundle: true, platform: 'node', format: 'cjs', mainFields: ['module', 'main'], write: false })
  const worker = new Worker(outputFiles[0]!.text, { eval: true, workerData: options })
  const [addresses] = await once(worker, 'message') as [string[]]
  const repliedAt = new Map<string, number>()
  worker.on('message', (reply: SentReply) => repliedAt.set(reply.text, reply.repliedAt))
  return { peers: addresses.map((address, index) => ({ name: `peer-${index}`, address })), repliedAt, close: () => worker.terminate() }
}

/** Counts the connections that this process begins to open. */
export class OpenedConnections {
  count = 0
  readonly #increment = () => { this.count++ }

  constructor () {
    channel('net.client.socket').subscribe(this.#increment)
  }

  close (): void {
    channel('net.client.socket').unsubscribe(this.#increment)
  }
}
