/**
 * A stand-in for the platform's store, as PROTOCOL.md describes it: rows with one version counter, reads, a feed that
 * waits for changes, and conditional transactions. It serves rows in the empty part only. It never fails by itself.
 */
import { createServer } from 'node:http'

const longestWaitMilliseconds = 30_000

export class Store {
  #rows = new Map()
  #version = 0
  #wakers = new Set()
  #servers = []

  /** Listens at a host and port of 127.0.0.0/8; returns `IP:port`. May be called more than once. */
  async listen (host, port = 0) {
    const server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy())
    })
    server.keepAliveTimeout = 60_000
    await new Promise(resolve => server.listen(port, host, resolve))
    this.#servers.push(server)
    return `${host}:${server.address().port}`
  }

  /** Stops listening at an address and closes its connections. */
  async stopListening (address) {
    const server = this.#servers.find(candidate => candidate.listening && `${candidate.address().address}:${candidate.address().port}` === address)
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  }

  close () {
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  /** Writes a row as the operator or a server would. */
  put (table, key, document) {
    this.#write(table, key, Buffer.from(JSON.stringify(document)).toString('base64'))
  }

  remove (table, key) {
    this.#write(table, key, undefined)
  }

  #write (table, key, data) {
    this.#version++
    this.#rows.set(`${table}\n${key}`, { table, part: '', key, data, ver: this.#version })
    for (const wake of [...this.#wakers]) wake()
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks).toString()
    const url = new URL(request.url, 'http://store')
    if (url.pathname === '/v1/rows-get') return this.#answer(response, 200, this.#read(url.searchParams))
    if (url.pathname === '/v1/rows-feed') return await this.#feed(url.searchParams, response)
    if (url.pathname === '/v1/rows-tx') return this.#transact(JSON.parse(body), response)
    this.#answer(response, 404, {})
  }

  #read (query) {
    const rows = [...this.#rows.values()].filter(row => row.table === query.get('table') && row.data !== undefined && row.key >= (query.get('source') ?? ''))
    rows.sort((left, right) => left.key < right.key ? -1 : 1)
    return { rows, has_more: false, ver: this.#version, now_ms: Math.floor(performance.now()) }
  }

  async #feed (query, response) {
    const after = Number(query.get('after'))
    const changed = () => [...this.#rows.values()].filter(row => row.table === query.get('table') && row.ver > after).sort((left, right) => left.ver - right.ver)
    if (after > this.#version) return this.#answer(response, 410, {})
    if (changed().length === 0) {
      await new Promise(resolve => {
        const timer = setTimeout(() => finish(), Math.min(longestWaitMilliseconds, Number(query.get('wait_ms'))))
        const wake = () => { if (changed().length > 0) finish() }
        const finish = () => {
          clearTimeout(timer)
          this.#wakers.delete(wake)
          resolve()
        }
        this.#wakers.add(wake)
        response.once('close', finish)
      })
    }
    const rows = changed().map(row => row.data === undefined ? { ...row, deleted: true } : row)
    this.#answer(response, 200, { rows, ver: this.#version, now_ms: Math.floor(performance.now()) })
  }

  #transact ({ precondition = [], write = [], remove = [] }, response) {
    const current = ({ table, key }) => {
      const row = this.#rows.get(`${table}\n${key}`)
      return row?.data === undefined ? { table, part: '', key, ver: 0 } : row
    }
    if (precondition.some(condition => current(condition).ver !== condition.ver)) return this.#answer(response, 412, { rows: precondition.map(current) })
    for (const { table, key, data } of write) this.#write(table, key, data)
    for (const { table, key } of remove) this.#write(table, key, undefined)
    this.#answer(response, 200, { ver: this.#version, now_ms: Math.floor(performance.now()) })
  }

  #answer (response, status, document) {
    const body = JSON.stringify(document)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
    response.end(body)
  }
}
