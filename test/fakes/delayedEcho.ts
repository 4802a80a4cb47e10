/** A message whose reply comes after a delay, and the identities of links that exchange it. */
import * as z from 'zod'
import type { LinkIdentity, MessageType } from '../../src/link/index.ts'

export interface LinkPeerOptions {
  readonly count: number
  readonly secret: string
}

/** When a peer replied to a request. */
export interface SentReply {
  readonly text: string
  readonly repliedAt: number
}

export const delayedEcho: MessageType<{ text: string, delayMilliseconds: number }, { text: string }> = {
  name: 'test.delayed_echo',
  body: z.strictObject({ text: z.string(), delayMilliseconds: z.number() }),
  reply: z.strictObject({ text: z.string() })
}

export function linkIdentityOf (name: string): LinkIdentity {
  return { name, address: '127.0.0.1:0', place: { region: 'coast', dataCentre: 'a' }, rack: 'r1', incarnation: 1 }
}
