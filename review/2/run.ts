/**
 * One of eight runners of a plain service fails some of the requests that it has run: it answers them 503 without
 * the mark of a request that was not run. No client of a request that isn't idempotent may be told 503 then.
 */
import type { EndpointStandIn } from '../../platform/standin/index.ts'
import { call } from '../lib/caller.ts'
import { Trial, Verdict, hasTrouble, pause } from '../lib/trial.ts'

const endpointCount = 8
const refundCount = 240
const refundIntervalMilliseconds = 15
const workMilliseconds = 40
/** Share of its requests that the failing runner fails. */
const failingShare = 0.4
const timeoutMilliseconds = 1_500
const promiseStatus = 503

const routes = [{
  name: 'release', hostname: 'desk.example', prefix: '/release/', route_type: 'non_idempotent', timeout_ms: timeoutMilliseconds, target_latency_ms: 293, priority: 1, max_attempts: 1, public: false, backend: 'ledger'
}]

/** Runs every request and counts its runs by the body, which names the refund. */
function runRefunds (trial: Trial, ledger: EndpointStandIn, fails: boolean, runs: Map<string, string[]>): void {
  let debt = 0
  ledger.handleWith(async ({ headers, body }, response) => {
    const id = String(headers['attempt-id'])
    runs.set(body, [...runs.get(body) ?? [], id])
    await pause(workMilliseconds)
    debt += fails ? failingShare : 0
    const isFailed = debt >= 1
    if (isFailed) debt--
    trial.record(`${ledger.identity} has run ${id} (${body}) and answers ${isFailed ? '503, without Not-Executed' : '200'}`)
    response.writeHead(isFailed ? promiseStatus : 200)
    response.end(isFailed ? 'failed' : 'done')
  })
}

function statusOf (head: string): number {
  return Number(head.slice('HTTP/1.1 '.length, 'HTTP/1.1 200'.length))
}

Trial.run('review/2/record.txt', async trial => {
  trial.putConfiguration(1, { routes })
  const runs = new Map<string, string[]>()
  for (let number = 1; number <= endpointCount; number++) runRefunds(trial, await trial.startEndpoint('ledger'), hasTrouble && number === 1, runs)
  const gateway = await trial.startGateway()
  const send = async (id: string, refund: string) => {
    const { head } = await call({ host: gateway.host, method: 'POST', path: '/release/1', id, body: refund, headers: { connection: 'close' }, timeoutMilliseconds })
    trial.record(`client of ${id} (${refund}): ${head.split('\r\n').join(' | ') || 'no answer'}`)
    return statusOf(head)
  }
  let falsePromises = 0
  let served = 0
  const refunds = Array.from({ length: refundCount }, async (_, index) => {
    await pause(index * refundIntervalMilliseconds)
    const refund = `refund-${index + 1}`
    const status = await send(`${refund}-a`, refund)
    if (status === 200) served++
    if (status !== promiseStatus) return
    if (runs.has(refund)) falsePromises++
    // The client takes the promise for what it is and asks once more, under a new id.
    await send(`${refund}-b`, refund)
  })
  await Promise.all(refunds)
  const doubled = [...runs].filter(([, ids]) => ids.length > 1)
  for (const [refund, ids] of doubled) trial.record(`${refund} was run ${ids.length} times: ${ids.join(', ')}`)
  trial.record(`${falsePromises} of ${refundCount} requests were answered ${promiseStatus} and had run; ${doubled.length} refunds were made twice; ${served} requests were answered 200 at once`)
  if (!hasTrouble && served < refundCount) return Verdict.CouldNotRun
  return falsePromises > 0 ? Verdict.Broken : Verdict.Held
})
