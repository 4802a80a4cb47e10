/** The object store, the list of VMs and the rating service over HTTP. */
import { z } from 'zod'
import { Err, Ok, type Result } from '../contract/index.ts'
import { HttpConnection, type HttpPlatformOptions } from './httpConnection.ts'
import { type ListedVirtualMachine, type ObjectStore, PlatformUnavailable, type RatingRequest, type RatingService, type VirtualMachineList } from './tableService.ts'

const absentStatus = 404
const namesShape = z.object({ names: z.array(z.string()) })
const ratingShape = z.object({ rating: z.number() })
const machinesShape = z.object({
  machines: z.array(z.object({
    name: z.string(),
    address: z.string(),
    region: z.string(),
    dataCentre: z.string(),
    leaving: z.boolean()
  }))
})

/**
 * The platform's object store.
 *
 * @example
 * const objects = new HttpObjectStore({ address: '127.0.0.1:7100', timeoutMilliseconds: 5_000 })
 */
export class HttpObjectStore implements ObjectStore {
  readonly #connection: HttpConnection

  constructor (options: HttpPlatformOptions) {
    this.#connection = new HttpConnection(options)
  }

  async put (name: string, content: Uint8Array): Promise<Result<void, PlatformUnavailable>> {
    const reply = await this.#connection.ask({ method: 'PUT', path: pathOf(name), body: content, isWrite: true })
    if (reply.err) return reply
    if (reply.val.status === absentStatus) return Err(new PlatformUnavailable('status 404', true))
    return Ok(undefined)
  }

  async get (name: string): Promise<Result<Uint8Array | undefined, PlatformUnavailable>> {
    const reply = await this.#connection.ask({ method: 'GET', path: pathOf(name), isWrite: false })
    return reply.map(({ status, body }) => status === absentStatus ? undefined : body)
  }

  async list (prefix: string): Promise<Result<readonly string[], PlatformUnavailable>> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`
    const names = await readJson(this.#connection, path, namesShape)
    return names.map(found => found.names)
  }

  /** Closes the connections at once; calls that run fail. */
  close (): Promise<void> {
    return this.#connection.close()
  }
}

/**
 * The platform's list of VMs.
 *
 * @example
 * const list = new HttpVirtualMachineList({ address: '127.0.0.1:7100', timeoutMilliseconds: 2_000 })
 */
export class HttpVirtualMachineList implements VirtualMachineList {
  readonly #connection: HttpConnection

  constructor (options: HttpPlatformOptions) {
    this.#connection = new HttpConnection(options)
  }

  async read (): Promise<Result<readonly ListedVirtualMachine[], PlatformUnavailable>> {
    const found = await readJson(this.#connection, '/virtual-machines', machinesShape)
    return found.map(({ machines }) => machines)
  }

  /** Closes the connections at once; calls that run fail. */
  close (): Promise<void> {
    return this.#connection.close()
  }
}

/**
 * The platform's rating service.
 *
 * @example
 * const ratings = new HttpRatingService({ address: '127.0.0.1:7100', timeoutMilliseconds: 1_000 })
 */
export class HttpRatingService implements RatingService {
  readonly #connection: HttpConnection

  constructor (options: HttpPlatformOptions) {
    this.#connection = new HttpConnection(options)
  }

  async rate (request: RatingRequest): Promise<Result<number, PlatformUnavailable>> {
    const body = JSON.stringify(request)
    const reply = await this.#connection.askJson({ method: 'POST', path: '/ratings', body, isWrite: false })
    if (reply.err) return reply
    return checked(reply.val, ratingShape).map(({ rating }) => rating)
  }

  /** Closes the connections at once; calls that run fail. */
  close (): Promise<void> {
    return this.#connection.close()
  }
}

function pathOf (name: string): string {
  return `/objects/${encodeURIComponent(name)}`
}

async function readJson<Value> (connection: HttpConnection, path: string, shape: z.ZodType<Value>): Promise<Result<Value, PlatformUnavailable>> {
  const reply = await connection.askJson({ method: 'GET', path, isWrite: false })
  if (reply.err) return reply
  return checked(reply.val, shape)
}

function checked<Value> (value: unknown, shape: z.ZodType<Value>): Result<Value, PlatformUnavailable> {
  const parsed = shape.safeParse(value)
  if (!parsed.success) return Err(new PlatformUnavailable('the reply is malformed', false))
  return Ok(parsed.data)
}
