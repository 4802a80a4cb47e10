/**
 * The handshake of a connection. Each end proves that it knows the daemons' shared secret by an HMAC over
 * both ends' fresh nonces and identities, so the secret is never sent, a recorded proof can't be replayed
 * and an identity can't be altered in transit. The role is signed too, so a proof can't be reflected to
 * its sender. Data after the handshake is protected only if TLS is enabled.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { Err, Ok, type Result } from '../contract/index.ts'
import { LinkFailure, type LinkIdentity } from './contract.ts'
import { type Frame, type FrameFault, FrameKind } from './frames.ts'

/** Sends and receives the frames of a handshake. */
export interface FrameChannel {
  receive (): Promise<Result<Frame, FrameFault> | undefined>
  send (frame: Frame): void
}

const Role = {
  Dialler: 'dialler',
  Listener: 'listener'
} as const
type Role = typeof Role[keyof typeof Role]

interface HandshakeParty {
  readonly identity: LinkIdentity
  readonly nonce: string
}

const nonceBytes = 16

/**
 * Performs the handshake of an outgoing connection.
 *
 * @returns the authenticated identity of the peer
 * @example
 * const peer = await dialHandshake(channel, identity, secret)
 */
export async function dialHandshake (channel: FrameChannel, identity: LinkIdentity, secret: string): Promise<Result<LinkIdentity, LinkFailure>> {
  const local: HandshakeParty = { identity, nonce: createNonce() }
  channel.send({ kind: FrameKind.Hello, ...local })
  const welcome = await receive(channel, FrameKind.Welcome)
  if (welcome.err) return welcome
  const remote: HandshakeParty = { identity: welcome.val.identity, nonce: welcome.val.nonce }
  if (!proofMatches(welcome.val.proof, proofOf(Role.Listener, local, remote, secret))) return handshakeFailure('the peer does not know the shared secret')
  channel.send({ kind: FrameKind.Proof, proof: proofOf(Role.Dialler, local, remote, secret) })
  const ready = await receive(channel, FrameKind.Ready)
  if (ready.err) return ready
  return Ok(remote.identity)
}

/**
 * Performs the handshake of an incoming connection.
 *
 * @returns the authenticated identity of the peer
 * @example
 * const peer = await acceptHandshake(channel, identity, secret)
 */
export async function acceptHandshake (channel: FrameChannel, identity: LinkIdentity, secret: string): Promise<Result<LinkIdentity, LinkFailure>> {
  const hello = await receive(channel, FrameKind.Hello)
  if (hello.err) return hello
  const remote: HandshakeParty = { identity: hello.val.identity, nonce: hello.val.nonce }
  const local: HandshakeParty = { identity, nonce: createNonce() }
  channel.send({ kind: FrameKind.Welcome, ...local, proof: proofOf(Role.Listener, remote, local, secret) })
  const proof = await receive(channel, FrameKind.Proof)
  if (proof.err) return proof
  if (!proofMatches(proof.val.proof, proofOf(Role.Dialler, remote, local, secret))) return handshakeFailure('the peer does not know the shared secret')
  channel.send({ kind: FrameKind.Ready })
  return Ok(remote.identity)
}

async function receive<Kind extends FrameKind> (channel: FrameChannel, kind: Kind): Promise<Result<Extract<Frame, { kind: Kind }>, LinkFailure>> {
  const frame = await channel.receive()
  if (frame === undefined) return handshakeFailure('the connection ended during its handshake')
  if (frame.err) return handshakeFailure(frame.val.reason)
  if (!isOfKind(frame.val, kind)) return handshakeFailure('unexpected kind of frame during the handshake')
  return Ok(frame.val)
}

function isOfKind<Kind extends FrameKind> (frame: Frame, kind: Kind): frame is Extract<Frame, { kind: Kind }> {
  return frame.kind === kind
}

function handshakeFailure (reason: string): Result<never, LinkFailure> {
  return Err(new LinkFailure(reason, false))
}

function createNonce (): string {
  return randomBytes(nonceBytes).toString('hex')
}

function proofOf (role: Role, dialler: HandshakeParty, listener: HandshakeParty, secret: string): string {
  const signed = [role, signedFieldsOf(dialler), signedFieldsOf(listener)]
  return createHmac('sha256', secret).update(JSON.stringify(signed)).digest('hex')
}

function signedFieldsOf ({ identity, nonce }: HandshakeParty): unknown[] {
  return [nonce, identity.name, identity.address, identity.place.region, identity.place.dataCentre, identity.rack, identity.incarnation]
}

function proofMatches (found: string, expected: string): boolean {
  const [foundBytes, expectedBytes] = [Buffer.from(found), Buffer.from(expected)]
  return foundBytes.length === expectedBytes.length && timingSafeEqual(foundBytes, expectedBytes)
}
