/**
 * A small deployment on loopback addresses and the real clock: the project's gateways, started with the run line and
 * the environment of the deploy file, and stand-ins for the store, the runners and the clients.
 */
import { fork, spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, openSync, closeSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Store } from './store.mjs'

const repository = fileURLToPath(new URL('../../', import.meta.url))
const runnerProgram = fileURLToPath(new URL('./runner.mjs', import.meta.url))
export const clientHost = 'desk.example'
export const key = 'n2ctnfzs989anu6wsjnb'
const heartbeatMilliseconds = 1_200

export const isTroubled = process.env.TROUBLE !== '0'
export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

/** Bounds and machine of the site that the claims name. */
const bounds = { seed_lag_s: 3, reuse_after_s: 2, stable_ms: 4000, ack_ms: 5000, catch_up_s: 4, drain_ms: 2500, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2500, rollback_slack_ms: 250, max_skew_ms: 6000, strict_revoke: false, revoke_ms: 5000, retry_ratio: 0.9, retry_window_s: 10, retry_slack: 54, exposure_share: 0.15, exposure_slack: 30, rollback_ms: 5000, recover_s: 12, pass_ms: 300, reuse_window_s: 10, session_s: 5 }
const limits = { cpu_quota: 0.675, cores: 1, memory_mb: 350, max_fds: 4200, link_mbps: 1000, disk_mb: 0 }
const callerLimits = { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }

export class World {
  store = new Store()
  folder = mkdtempSync(join(tmpdir(), 'lavenderdoor-review-'))
  gateways = []
  runners = []
  #host = `127.${100 + process.pid % 90}.${1 + Math.floor(process.pid / 90) % 250}.`
  #nextHost = 1
  #record
  #startedAt = performance.now()
  #attempts = 0
  #beats

  /** @param record path of the file to which is written what was sent, answered and run */
  constructor (record) {
    this.#record = record
    writeFileSync(this.#record, `# ${isTroubled ? 'with' : 'without'} the disruption; milliseconds since the start\n`)
    process.on('exit', () => this.#killAll())
    // A fault of the script itself must not look like a broken rule.
    process.on('uncaughtException', error => {
      console.error(error)
      process.exit(2)
    })
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2))
  }

  get now () {
    return Math.round(performance.now() - this.#startedAt)
  }

  note (...words) {
    appendFileSync(this.#record, `${this.now} ${words.join(' ')}\n`)
  }

  say (...words) {
    this.note(...words)
    console.log(words.join(' '))
  }

  newHost () {
    return `${this.#host}${this.#nextHost++}`
  }

  async startStore () {
    this.storeAddress = await this.store.listen(this.newHost())
    this.#beats = setInterval(() => { for (const runner of this.runners) if (runner.isAlive && !runner.isUnregistered) this.register(runner) }, heartbeatMilliseconds)
  }

  /** Writes a configuration, as the operator does. */
  configure (version, routes, services) {
    const defaults = { hostname: clientHost, priority: 1, max_attempts: 3, public: false, affinity: false }
    this.store.put('op', 'config', {
      version,
      routes: routes.map(route => ({ ...defaults, name: `r${route.prefix}`, ...route })),
      backends: services.map(name => ({ name, health_path: '/healthz', max_conns: 300, protocol: 'h1', tls: false })),
      limits: callerLimits,
      tenants: [{ name: 'hule930', api_keys: [key], priority: 1 }]
    })
    this.note('configuration', version, 'is written to the store')
  }

  /** Starts a runner as a process and registers it. */
  async startRunner (service, settings, before) {
    const runner = before ?? { id: settings.id, service, seq: 0, state: 'ready', settings: { host: this.newHost(), ...settings } }
    const child = fork(runnerProgram, [JSON.stringify({ ...runner.settings, id: runner.id, port: runner.port })])
    runner.child = child
    runner.isAlive = true
    runner.born = Date.now()
    runner.seq = 0
    child.once('exit', () => {
      if (runner.child !== child) return
      runner.isAlive = false
      this.note('runner', runner.id, 'has ended')
      runner.onEnd?.()
    })
    runner.address = await new Promise(resolve => {
      child.on('message', message => {
        if (message.type === 'listening') return resolve(message.address)
        this.note('runner', runner.id, message.type, message.attempt, message.after === undefined ? '' : `after ${message.after}`)
        this.onRunner?.(message, runner)
      })
    })
    runner.port = Number(runner.address.split(':')[1])
    if (before === undefined) this.runners.push(runner)
    this.register(runner)
    return runner
  }

  /** Writes the row of a runner, as it does itself with each heartbeat. */
  register (runner) {
    const { id, service, address, state, born, settings } = runner
    this.store.put('servers', id, { backend: service, address, zone: 'lm-burnaby', version: 'v1', slots: settings.slots ?? 48, state, cold_left_ms: 0, phase: 'colocated', llms: settings.model === undefined ? [] : [{ name: settings.model, version: 1, loras: [] }], seq_no: ++runner.seq, born })
  }

  /** Makes the addresses of a gateway; it is started by `startGateway`. */
  addGateway () {
    const host = this.newHost()
    const gateway = { name: `edge-lm-burnaby-${this.gateways.length + 1}`, host, frontend: `${host}:8227`, ready: `${host}:8220`, link: `${host}:8229`, settings: join(this.folder, `${host}.json`) }
    this.gateways.push(gateway)
    return gateway
  }

  writeSettings (gateway, changes = {}) {
    const { name, host, frontend, ready, link } = gateway
    writeFileSync(gateway.settings, JSON.stringify({
      node_name: name,
      role: 'gateway',
      machine_class: 'edge',
      serves: ['edge', 'controller'],
      ip: host,
      zone: 'lm-burnaby',
      region: 'lower-mainland',
      zones: { 'lm-burnaby': 'lower-mainland' },
      listen: { frontend, ready, control_plane: link },
      port_range: [7340, 7355],
      seeds: this.gateways.slice(0, 3).map(seed => seed.link),
      bootstrap: true,
      in_tolerance: false,
      limits,
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: heartbeatMilliseconds,
      bounds,
      platform: { address: this.storeAddress, form: 'table', writes_per_s: 400, reads_per_s: 2000, tx_ms: 5, part_writes_s: 200, row_bytes: 65536, span: false, history_s: 20, blob_bytes: 8388608, blob_ms: 25, blob_mb_s: 80 },
      ...changes
    }))
  }

  /** Starts the process of a gateway as the deploy file says. */
  startGateway (gateway, changes) {
    this.writeSettings(gateway, changes)
    const deploy = readFileSync(join(repository, 'deploy/system.toml'), 'utf8')
    const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    const environment = Object.fromEntries([.../^env = \{(.*)\}$/m.exec(deploy)[1].matchAll(/(\w+) = "([^"]*)"/g)].map(([, name, value]) => [name, value]))
    const log = openSync(join(this.folder, `${gateway.name}.log`), 'a')
    gateway.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: repository, stdio: ['ignore', log, log], env: { PATH: process.env.PATH, HOME: this.folder, ...environment, LAVENDERDOOR_NODE_FILE: gateway.settings }
    })
    closeSync(log)
    gateway.child.once('exit', (code, signal) => {
      gateway.end = { code, signal }
      this.note('gateway', gateway.name, 'has ended', code, signal)
    })
    this.note('gateway', gateway.name, 'is started')
  }

  /** Waits until gateways report that they are ready; ends the script with 2 if they don't. */
  async untilReady (gateways = this.gateways, milliseconds = 15_000) {
    const latestAt = this.now + milliseconds
    for (const gateway of gateways) {
      while ((await this.isReady(gateway)) !== 200) {
        if (this.now > latestAt) {
          this.say(`${gateway.name} is not ready: the case can't run`)
          process.exit(2)
        }
        await sleep(50)
      }
    }
  }

  /** What the readiness check answers within a second; undefined if nothing. */
  async isReady (gateway) {
    const [host, port] = gateway.ready.split(':')
    return await new Promise(resolve => {
      const request = httpRequest({ host, port, path: '/v1/readyz', agent: false, timeout: 1_000 }, response => {
        response.resume()
        resolve(response.statusCode)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(undefined))
      request.on('close', () => resolve(undefined))
      request.end()
    })
  }

  newAttempt () {
    return `a${process.pid.toString(16)}${(++this.#attempts).toString(16).padStart(8, '0')}`
  }

  /**
   * Sends one request as a client; resolves when its answer has ended or the client has given it up.
   *
   * @returns attempt, sentAt, answeredAt (undefined without an answer), status, isWhole, body, error
   */
  async send (gateway, { method = 'GET', path, headers = {}, body, agent = false, deadlineMilliseconds = 1_500, patienceMilliseconds = deadlineMilliseconds + 1_000 }) {
    const attempt = this.newAttempt()
    const [host, port] = gateway.frontend.split(':')
    const sentAt = this.now
    this.note('client', attempt, 'sends', method, path.slice(0, 60), 'to', gateway.name)
    let hasResponse = false
    const outcome = await new Promise(resolve => {
      const request = httpRequest({
        host, port, method, path, agent, headers: { Host: clientHost, 'Attempt-Id': attempt, 'Deadline-Ms': String(deadlineMilliseconds), Authorization: `Bearer ${key}`, ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }), ...headers }
      }, response => {
        const chunks = []
        hasResponse = true
        response.on('data', chunk => chunks.push(chunk))
        response.on('close', () => resolve({ status: response.statusCode, headers: response.headers, isWhole: response.complete, body: Buffer.concat(chunks).toString() }))
        response.on('error', () => undefined)
      })
      const patience = setTimeout(() => {
        resolve({ error: 'the client gave up' })
        request.destroy()
      }, patienceMilliseconds)
      request.on('error', error => resolve({ error: error.code ?? error.message }))
      request.on('close', () => {
        clearTimeout(patience)
        if (!hasResponse) resolve({ error: 'closed' })
      })
      request.end(body)
    })
    const answeredAt = outcome.error === undefined ? this.now : undefined
    this.note('client', attempt, outcome.error ?? `gets ${outcome.status}, ${outcome.isWhole ? 'whole' : 'broken off'}, ${outcome.body.length} bytes`)
    return { attempt, sentAt, answeredAt, ...outcome }
  }

  /** An agent that keeps connections open. */
  keptConnections () {
    return new Agent({ keepAlive: true })
  }

  /** Ends all processes and the script. */
  finish (exitCode, ...words) {
    this.say(...words)
    clearInterval(this.#beats)
    process.exit(exitCode)
  }

  #killAll () {
    for (const { child } of [...this.gateways, ...this.runners]) if (child?.exitCode === null) child.kill('SIGKILL')
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** An address of a loopback host at which nobody listens. */
export async function unusedAddress (host) {
  const server = createServer()
  await new Promise(resolve => server.listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return `${host}:${port}`
}
