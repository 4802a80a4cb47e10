/** Runs links in a thread of their own, whose event loop goes on while that of the test is held up. Bundled by `linkPeers.ts`. */
import { parentPort, workerData } from 'node:worker_threads'
import { SystemClock } from '../../src/contract/index.ts'
import { TcpLink } from '../../src/link/index.ts'
import { type LinkPeerOptions, type SentReply, delayedEcho, linkIdentityOf } from './delayedEcho.ts'

const { count, secret } = workerData as LinkPeerOptions
const clock = new SystemClock()

async function startPeer (index: number): Promise<string> {
  const link = new TcpLink({ identity: linkIdentityOf(`peer-${index}`), secret, clock })
  link.handle(delayedEcho, async body => {
    await clock.sleep(body.delayMilliseconds)
    parentPort?.postMessage({ text: body.text, repliedAt: clock.now() } satisfies SentReply)
    return { text: body.text }
  })
  return (await link.listen('127.0.0.1:0')).unwrap()
}

Promise.all(Array.from({ length: count }, (_, index) => startPeer(index))).then(addresses => parentPort?.postMessage(addresses))
