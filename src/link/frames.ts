/**
 * The framing of links: a length, the protocol version and one CBOR value. The length is limited and the
 * version is checked before the value is read, so that a peer with another version or protocol is refused
 * by its header, before memory is allocated for the value.
 */
// The codec's entry point without native code or run-time compilation; plain maps need neither.
import { Encoder } from 'cbor-x/index-no-eval'
import * as z from 'zod'
import { Err, Ok, type Result } from '../contract/index.ts'
import type { LinkIdentity } from './contract.ts'

/** The protocol version. Frames with another version are refused. */
export const protocolVersion = 1
/** Maximum size of a frame's value, in bytes. */
export const maximumFrameBytes = 4 * 1024 * 1024
/** Maximum size of a frame's value before the peer is authenticated, in bytes. */
export const maximumHandshakeFrameBytes = 4 * 1024

const lengthFieldBytes = 4
const headerBytes = lengthFieldBytes + 1

export const FrameKind = {
  Hello: 0,
  Welcome: 1,
  Proof: 2,
  Ready: 3,
  Request: 4,
  Reply: 5,
  Refusal: 6,
  Ping: 7,
  Pong: 8
} as const
export type FrameKind = typeof FrameKind[keyof typeof FrameKind]

const identitySchema: z.ZodType<LinkIdentity> = z.strictObject({
  name: z.string().min(1).max(64),
  address: z.string().max(64),
  place: z.strictObject({ region: z.string().max(64), dataCentre: z.string().max(64) }),
  rack: z.string().max(64),
  incarnation: z.number()
})
const nonceSchema = z.string().length(32)
const proofSchema = z.string().length(64)

const frameSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal(FrameKind.Hello), identity: identitySchema, nonce: nonceSchema }),
  z.strictObject({ kind: z.literal(FrameKind.Welcome), identity: identitySchema, nonce: nonceSchema, proof: proofSchema }),
  z.strictObject({ kind: z.literal(FrameKind.Proof), proof: proofSchema }),
  z.strictObject({ kind: z.literal(FrameKind.Ready) }),
  z.strictObject({ kind: z.literal(FrameKind.Request), id: z.number(), type: z.string().max(64), body: z.unknown() }),
  z.strictObject({ kind: z.literal(FrameKind.Reply), id: z.number(), body: z.unknown() }),
  z.strictObject({ kind: z.literal(FrameKind.Refusal), id: z.number(), reason: z.string(), handled: z.boolean() }),
  z.strictObject({ kind: z.literal(FrameKind.Ping) }),
  z.strictObject({ kind: z.literal(FrameKind.Pong) })
])

/** One frame between two daemons. */
export type Frame = z.infer<typeof frameSchema>

/** Why bytes received are not a valid frame. The connection is then closed. */
export class FrameFault {
  readonly reason: string

  constructor (reason: string) {
    this.reason = reason
  }
}

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, variableMapSize: true })

/**
 * Encodes a frame.
 *
 * @returns a fault if the frame is longer than `maximumFrameBytes`
 * @example
 * const bytes = encodeFrame({ kind: FrameKind.Ping })
 */
export function encodeFrame (frame: Frame): Result<Buffer, FrameFault> {
  const value = codec.encode(frame)
  if (value.length > maximumFrameBytes) return Err(new FrameFault(`frame of ${value.length} bytes exceeds the limit of ${maximumFrameBytes} bytes`))
  const bytes = Buffer.allocUnsafe(headerBytes + value.length)
  bytes.writeUInt32BE(value.length, 0)
  bytes.writeUInt8(protocolVersion, lengthFieldBytes)
  value.copy(bytes, headerBytes)
  return Ok(bytes)
}

/** Maximum size of a connection's frames, in bytes; raised once the peer is authenticated. */
export interface FrameLimit {
  maximumBytes: number
}

/**
 * Reads frames from a connection until it ends or fails. Yields nothing after a fault.
 *
 * @example
 * for await (const frame of readFrames(socket, { maximumBytes: maximumFrameBytes })) handle(frame)
 */
export async function * readFrames (source: AsyncIterable<Buffer>, limit: FrameLimit): AsyncGenerator<Result<Frame, FrameFault>, void> {
  let pending: Buffer = Buffer.alloc(0)
  for await (const chunk of readUntilBroken(source)) {
    pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
    for (;;) {
      const length = frameLength(pending, limit)
      if (length.err) return yield length
      if (length.val === undefined || pending.length < length.val) break
      const frame = decodeFrame(pending.subarray(headerBytes, length.val))
      yield frame
      if (frame.err) return
      pending = pending.subarray(length.val)
    }
  }
}

/** Treats a connection error as the end of the stream. */
async function * readUntilBroken (source: AsyncIterable<Buffer>): AsyncGenerator<Buffer, void> {
  try {
    yield * source
  } catch {
    // Reset by the peer or destroyed locally.
  }
}

/** Size of the first frame including its header, in bytes; undefined while the header is incomplete. */
function frameLength (bytes: Buffer, limit: FrameLimit): Result<number | undefined, FrameFault> {
  if (bytes.length < headerBytes) return Ok(undefined)
  const version = bytes.readUInt8(lengthFieldBytes)
  if (version !== protocolVersion) return Err(new FrameFault(`unsupported protocol version ${version}; expected ${protocolVersion}`))
  const length = bytes.readUInt32BE(0)
  if (length > limit.maximumBytes) return Err(new FrameFault(`frame of ${length} bytes exceeds the limit of ${limit.maximumBytes} bytes`))
  return Ok(headerBytes + length)
}

function decodeFrame (value: Buffer): Result<Frame, FrameFault> {
  let document: unknown
  try {
    document = codec.decode(value)
  } catch {
    return Err(new FrameFault('the frame\'s value is not valid CBOR'))
  }
  const checked = frameSchema.safeParse(document)
  if (!checked.success) return Err(new FrameFault('the frame does not match the schema of any frame kind'))
  return Ok(checked.data)
}
