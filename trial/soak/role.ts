/** Entry of the soak's own processes: `node role.cjs ROLE OPTIONS`, with the options of the role as JSON. */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { StoreStandIn } from '../../platform/standin/index.ts'
import { Table } from '../../platform/index.ts'
import { type EndpointRoleOptions, runEndpoint } from './endpointRole.ts'
import { type GuardOrder, type LoadOrder, type ProxyOrder, Role, type StoreOrder, followOrders } from './orders.ts'
import { FaultyProxy } from './proxy.ts'

export interface StoreRoleOptions {
  readonly host: string
  /** After as long without a heartbeat an endpoint's row is removed. */
  readonly expiryMilliseconds: number
}

export interface ProxiesRoleOptions {
  readonly host: string
}

const expiryCheckMilliseconds = 200
/** Orders that come meanwhile are read between two slices. */
const loadSliceMilliseconds = 20

async function runStore ({ host, expiryMilliseconds }: StoreRoleOptions): Promise<void> {
  const store = await StoreStandIn.start(host)
  followOrders<StoreOrder>(store.address, order => {
    if (order.order === 'put') return store.put(order.table, order.key, order.document)
    if (order.order === 'read') return store.read(order.table, order.key)
    return order.order === 'fault' ? store.injectFault(order.fault) : store.compact()
  })
  expireEndpoints(store, expiryMilliseconds)
}

/** Removes the rows of endpoints that have not changed for too long. */
function expireEndpoints (store: StoreStandIn, expiryMilliseconds: number): void {
  const seen = new Map<string, { readonly text: string, readonly at: number }>()
  setInterval(() => {
    store.callPaths.length = 0
    for (const key of store.keys(Table.Endpoints)) {
      const text = JSON.stringify(store.read(Table.Endpoints, key))
      const last = seen.get(key)
      if (last?.text !== text) seen.set(key, { text, at: performance.now() })
      else if (performance.now() - last.at > expiryMilliseconds) store.delete(Table.Endpoints, key)
    }
  }, expiryCheckMilliseconds)
}

async function runProxies ({ host }: ProxiesRoleOptions): Promise<void> {
  const proxies = new Map<string, FaultyProxy>()
  followOrders<ProxyOrder>('', async order => {
    if (order.order === 'open') {
      const opened = await FaultyProxy.start(host, order.target)
      proxies.set(order.name, opened)
      return opened.address
    }
    const proxy = proxies.get(order.name)
    if (proxy === undefined) throw new Error(`no proxy ${order.name}`)
    if (order.order === 'retarget') return proxy.retarget(order.target)
    proxy.cause(order.fault, order.milliseconds)
  })
}

function runLoad (): void {
  let endsAt = 0
  followOrders<LoadOrder>('', async ({ milliseconds }) => {
    endsAt = Math.max(endsAt, performance.now() + milliseconds)
    while (performance.now() < endsAt) {
      keepProcessorBusy(loadSliceMilliseconds)
      await nextTurn()
    }
  })
}

function keepProcessorBusy (milliseconds: number): void {
  const endsAt = performance.now() + milliseconds
  while (performance.now() < endsAt) Math.sqrt(endsAt)
}

function runGuard (): void {
  const processIds = new Set<number>()
  followOrders<GuardOrder>('', ({ order, processId }) => {
    if (order === 'watch') processIds.add(processId)
    else processIds.delete(processId)
  }, () => processIds.forEach(killIfRunning))
}

function killIfRunning (processId: number): void {
  try {
    process.kill(processId, 'SIGKILL')
  } catch {
    // It has ended meanwhile.
  }
}

const [role, options = '{}'] = process.argv.slice(2)
const run = {
  [Role.Store]: () => runStore(JSON.parse(options) as StoreRoleOptions),
  [Role.Endpoint]: () => runEndpoint(JSON.parse(options) as EndpointRoleOptions),
  [Role.Proxies]: () => runProxies(JSON.parse(options) as ProxiesRoleOptions),
  [Role.Load]: runLoad,
  [Role.Guard]: runGuard
}[role as Role]
run()
