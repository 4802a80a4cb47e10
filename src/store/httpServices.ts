/** The object store, the list of VMs and the rating service over HTTP. */
import * as z from 'zod'
import { Err, Ok, type Result } from '../contract/index.ts'
import { PlatformClient, type PlatformClientOptions } from './platformClient.ts'
import { type ListedVirtualMachine, type ObjectStore, PlatformUnavailable, type RatingRequest, type RatingService, type VirtualMachineList } from './platformServices.ts'

const notFoundStatus = 404
const namesSchema = z.object({ names: z.array(z.string()) })
const ratingSchema = z.object({ rating: z.number() })
const machinesSchema = z.object({
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
 * const objects = new HttpObjectStore({ clock, address: '127.0.0.1:7100', timeoutMilliseconds: 5_000 })
 */
export class HttpObjectStore implements ObjectStore {
  readonly #client: PlatformClient

  constructor (options: PlatformClientOptions) {
    this.#client = new PlatformClient(options)
  }

  async put (name: string, content: Uint8Array): Promise<Result<void, PlatformUnavailable>> {
    const reply = await this.#client.request({ method: 'PUT', path: objectPath(name), body: content, isWrite: true })
    if (reply.err) return reply
    if (reply.val.status === notFoundStatus) return Err(new PlatformUnavailable('status 404', true))
    return Ok(undefined)
  }

  async get (name: string): Promise<Result<Uint8Array | undefined, PlatformUnavailable>> {
    const reply = await this.#client.request({ method: 'GET', path: objectPath(name), isWrite: false })
    return reply.map(({ status, body }) => status === notFoundStatus ? undefined : body)
  }

  async list (prefix: string): Promise<Result<readonly string[], PlatformUnavailable>> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`
    const names = await readJson(this.#client, path, namesSchema)
    return names.map(found => found.names)
  }

  /** Closes the connections at once; calls in progress fail. */
  close (): Promise<void> {
    return this.#client.close()
  }
}

/**
 * The platform's list of VMs.
 *
 * @example
 * const list = new HttpVirtualMachineList({ clock, address: '127.0.0.1:7100', timeoutMilliseconds: 2_000 })
 */
export class HttpVirtualMachineList implements VirtualMachineList {
  readonly #client: PlatformClient

  constructor (options: PlatformClientOptions) {
    this.#client = new PlatformClient(options)
  }

  async read (): Promise<Result<readonly ListedVirtualMachine[], PlatformUnavailable>> {
    const found = await readJson(this.#client, '/virtual-machines', machinesSchema)
    return found.map(({ machines }) => machines)
  }

  /** Closes the connections at once; calls in progress fail. */
  close (): Promise<void> {
    return this.#client.close()
  }
}

/**
 * The platform's rating service.
 *
 * @example
 * const ratings = new HttpRatingService({ clock, address: '127.0.0.1:7100', timeoutMilliseconds: 1_000 })
 */
export class HttpRatingService implements RatingService {
  readonly #client: PlatformClient

  constructor (options: PlatformClientOptions) {
    this.#client = new PlatformClient(options)
  }

  async rate (request: RatingRequest): Promise<Result<number, PlatformUnavailable>> {
    const body = JSON.stringify(request)
    const reply = await this.#client.requestJson({ method: 'POST', path: '/ratings', body, isWrite: false })
    if (reply.err) return reply
    return parseReply(reply.val, ratingSchema).map(({ rating }) => rating)
  }

  /** Closes the connections at once; calls in progress fail. */
  close (): Promise<void> {
    return this.#client.close()
  }
}

function objectPath (name: string): string {
  return `/objects/${encodeURIComponent(name)}`
}

async function readJson<Value> (client: PlatformClient, path: string, schema: z.ZodType<Value>): Promise<Result<Value, PlatformUnavailable>> {
  const reply = await client.requestJson({ method: 'GET', path, isWrite: false })
  if (reply.err) return reply
  return parseReply(reply.val, schema)
}

function parseReply<Value> (value: unknown, schema: z.ZodType<Value>): Result<Value, PlatformUnavailable> {
  const parsed = schema.safeParse(value)
  if (!parsed.success) return Err(new PlatformUnavailable('the reply is malformed', false))
  return Ok(parsed.data)
}
