/**
 * An HTTP client on one connection that closes it when the peer sends bytes without end that are no part of an
 * answer: an endless first line, chunk size or chunk extension, or preliminary answers one after the other. The
 * HTTP parser reads such bytes without keeping or reporting them, so they would keep the process busy until the
 * request's deadline. Response heads that are two read as one are rejected here as well, for all users of connections.
 * No connection is opened for requests that are over: the library would open one for a request that was aborted.
 */
import type { Socket } from 'node:net'
import { Client, type Dispatcher, Pool, type buildConnector } from 'undici'
import type { Clock } from '../contract/index.ts'
import { createConnector } from './connector.ts'
import { assertSingleHead } from './responseHead.ts'

/** More than the parser may have before it when it reports nothing: the longest head and what the socket buffers. */
const maximumBytesWithoutProgress = 256 * 1024
const firstFinalStatus = 200

/** The options of a client whose connector is a function. */
export type ProgressClientOptions = Omit<Client.Options, 'connect'> & { readonly connect: buildConnector.connector }

/** The options of a pool of such clients. */
export type PoolOptions = Omit<Pool.Options, 'factory' | 'connect'> & {
  readonly clock: Clock
  readonly connectTimeoutMilliseconds: number
}

export class ProgressClient extends Client {
  readonly #progress: ConnectionProgress

  constructor (origin: string | URL, { connect, ...options }: ProgressClientOptions) {
    const progress = new ConnectionProgress()
    super(origin, {
      ...options,
      connect: (target, callback) => {
        if (progress.openRequests === 0) return callback(new Error('no request needs a connection'), null)
        connect(target, (...opened) => {
          const [, socket] = opened
          if (socket) progress.watch(socket)
          callback(...opened)
        })
      }
    })
    this.#progress = progress
  }

  override dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    this.#progress.openRequests++
    return super.dispatch(options, withProgress(handler, this.#progress))
  }
}

/**
 * Creates a pool of such clients.
 *
 * @example
 * const pool = createPool('http://10.0.0.1:80', { clock, connectTimeoutMilliseconds: 500, pipelining: 1 })
 */
export function createPool (origin: string, { clock, connectTimeoutMilliseconds, ...options }: PoolOptions): Pool {
  const connect = createConnector(clock, connectTimeoutMilliseconds)
  return new Pool(origin, { ...options, factory: target => new ProgressClient(target, { ...options, connect }) })
}

/** Compares what a connection has received with what the parser has reported. */
class ConnectionProgress {
  /** Requests that have neither ended nor failed. */
  openRequests = 0
  #socket: Socket | undefined
  #reportedBytes = 0

  watch (socket: Socket): void {
    this.#socket = socket
    this.#reportedBytes = 0
    socket.on('readable', () => {
      if (socket.bytesRead - this.#reportedBytes <= maximumBytesWithoutProgress) return
      socket.destroy(new Error('the connection delivers bytes without end that are no answer'))
    })
  }

  record (): void {
    this.#reportedBytes = this.#socket?.bytesRead ?? 0
  }
}

/**
 * Passes all events on and records which of them show progress. A preliminary answer shows none and is not
 * passed on. A head that is two read as one fails the request, since the library aborts it for what a handler
 * throws. A pool hands over handlers of the library's older interface, a client those of the newer one.
 */
function withProgress (handler: Dispatcher.DispatchHandler, progress: ConnectionProgress): Dispatcher.DispatchHandler {
  let isOver = false
  const recordEnd = () => {
    if (!isOver) progress.openRequests--
    isOver = true
  }
  const replacements: Dispatcher.DispatchHandler = {
    onComplete: trailers => {
      recordEnd()
      handler.onComplete?.(trailers)
    },
    onResponseEnd: (controller, trailers) => {
      recordEnd()
      handler.onResponseEnd?.(controller, trailers)
    },
    onError: error => {
      recordEnd()
      handler.onError?.(error)
    },
    onResponseError: (controller, error) => {
      recordEnd()
      handler.onResponseError?.(controller, error)
    },
    onHeaders: (status, headers, resume, statusText) => {
      if (status < firstFinalStatus) return true
      progress.record()
      assertSingleHead(statusText, headers)
      return handler.onHeaders?.(status, headers, resume, statusText) ?? true
    },
    onResponseStart: (controller, status, headers, statusMessage) => {
      if (status < firstFinalStatus) return
      progress.record()
      assertSingleHead(statusMessage, Object.values(headers))
      handler.onResponseStart?.(controller, status, headers, statusMessage)
    },
    onData: chunk => {
      progress.record()
      return handler.onData?.(chunk) ?? true
    },
    onResponseData: (controller, chunk) => {
      progress.record()
      handler.onResponseData?.(controller, chunk)
    },
    onConnect: abort => {
      progress.record()
      handler.onConnect?.(abort)
    },
    onRequestStart: (controller, context) => {
      progress.record()
      handler.onRequestStart?.(controller, context)
    }
  }
  return new Proxy(handler, {
    get: (target, name) => {
      const value: unknown = Reflect.get(target, name)
      if (typeof value !== 'function') return value
      return Reflect.get(replacements, name) ?? value.bind(target)
    }
  })
}
