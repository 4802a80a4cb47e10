/**
 * The start of a connection. Each end proves that it knows the daemons' shared secret by an HMAC
 * over both ends' fresh nonces and identities, so the secret never travels, a recorded proof is of
 * no use, and an identity can't be changed on the way. The role is part of what is signed: a proof
 * can't be sent back to its maker. What follows the handshake is protected only where TLS is on.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { Err, Ok, type Result } from '../contract/index.ts'
import { LinkFailure, type LinkIdentity } from './contract.ts'
import { type Frame, type FrameFault, FrameKind } from './frames.ts'

/** The frames of a connection that is being opened. */
export interface FrameChannel {
  receive (): Promise<Result<Frame, FrameFault> | undefined>
  send (frame: Frame): void
}

const Role = {
  Dialler: 'dialler',
  Listener: 'listener'
} as const
type Role = typeof Role[keyof typeof Role]

interface Introduction {
  readonly identity: LinkIdentity
  readonly nonce: string
}

const nonceBytes = 16

/**
 * Opens a connection from the side that dialled.
 *
 * @returns the identity of the other end, proved
 * @example
 * const peer = await dialHandshake(channel, identity, secret)
 */
export async function dialHandshake (channel: FrameChannel, identity: LinkIdentity, secret: string): Promise<Result<LinkIdentity, LinkFailure>> {
  const own: Introduction = { identity, nonce: freshNonce() }
  channel.send({ kind: FrameKind.Hello, ...own })
  const welcome = await receive(channel, FrameKind.Welcome)
  if (welcome.err) return welcome
  const theirs: Introduction = { identity: welcome.val.identity, nonce: welcome.val.nonce }
  if (!matches(welcome.val.proof, proofOf(Role.Listener, own, theirs, secret))) return refused('the peer does not know the shared secret')
  channel.send({ kind: FrameKind.Proof, proof: proofOf(Role.Dialler, own, theirs, secret) })
  const ready = await receive(channel, FrameKind.Ready)
  if (ready.err) return ready
  return Ok(theirs.identity)
}

/**
 * Opens a connection from the side that listened.
 *
 * @returns the identity of the other end, proved
 * @example
 * const peer = await acceptHandshake(channel, identity, secret)
 */
export async function acceptHandshake (channel: FrameChannel, identity: LinkIdentity, secret: string): Promise<Result<LinkIdentity, LinkFailure>> {
  const hello = await receive(channel, FrameKind.Hello)
  if (hello.err) return hello
  const theirs: Introduction = { identity: hello.val.identity, nonce: hello.val.nonce }
  const own: Introduction = { identity, nonce: freshNonce() }
  channel.send({ kind: FrameKind.Welcome, ...own, proof: proofOf(Role.Listener, theirs, own, secret) })
  const proof = await receive(channel, FrameKind.Proof)
  if (proof.err) return proof
  if (!matches(proof.val.proof, proofOf(Role.Dialler, theirs, own, secret))) return refused('the peer does not know the shared secret')
  channel.send({ kind: FrameKind.Ready })
  return Ok(theirs.identity)
}

async function receive<Kind extends FrameKind> (channel: FrameChannel, kind: Kind): Promise<Result<Extract<Frame, { kind: Kind }>, LinkFailure>> {
  const frame = await channel.receive()
  if (frame === undefined) return refused('the connection ended during its handshake')
  if (frame.err) return refused(frame.val.reason)
  if (!isOfKind(frame.val, kind)) return refused('the handshake is out of order')
  return Ok(frame.val)
}

function isOfKind<Kind extends FrameKind> (frame: Frame, kind: Kind): frame is Extract<Frame, { kind: Kind }> {
  return frame.kind === kind
}

function refused (reason: string): Result<never, LinkFailure> {
  return Err(new LinkFailure(reason, false))
}

function freshNonce (): string {
  return randomBytes(nonceBytes).toString('hex')
}

function proofOf (role: Role, dialler: Introduction, listener: Introduction, secret: string): string {
  const signed = [role, describe(dialler), describe(listener)]
  return createHmac('sha256', secret).update(JSON.stringify(signed)).digest('hex')
}

function describe ({ identity, nonce }: Introduction): unknown[] {
  return [nonce, identity.name, identity.address, identity.place.region, identity.place.dataCentre, identity.rack, identity.incarnation]
}

function matches (found: string, expected: string): boolean {
  return found.length === expected.length && timingSafeEqual(Buffer.from(found), Buffer.from(expected))
}
