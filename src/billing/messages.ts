/** The messages about bill entries between daemons. Each may be lost, delayed or repeated without harm. */
import * as z from 'zod'
import type { MessageType } from '../link/index.ts'
import { type PackedEntries, packedEntriesSchema } from './packedEntries.ts'

/** Asks a lane's collector to write entries. */
export interface BillHandInBody {
  readonly lane: string
  readonly entries: PackedEntries
  /** Try the store even if it did not answer before. */
  readonly isProbe: boolean
}

export const billHandIn: MessageType<BillHandInBody, { readonly isDurable: boolean }> = {
  name: 'bill.hand-in',
  body: z.object({ lane: z.string(), entries: packedEntriesSchema, isProbe: z.boolean() }),
  reply: z.object({ isDurable: z.boolean() })
}

/** Asks another VM to hold copies of entries while the store is unavailable. */
export interface BillCopyBody {
  readonly lane: string
  readonly entries: PackedEntries
}

export const billCopy: MessageType<BillCopyBody, { readonly isHeld: boolean }> = {
  name: 'bill.copy',
  body: z.object({ lane: z.string(), entries: packedEntriesSchema }),
  reply: z.object({ isHeld: z.boolean() })
}

/** Tells a holder that entries are in the store. */
export interface BillForgetBody {
  readonly origin: string
  readonly sequences: number[]
}

export const billForget: MessageType<BillForgetBody, Record<string, never>> = {
  name: 'bill.forget',
  body: z.object({ origin: z.string(), sequences: z.array(z.number()) }),
  reply: z.record(z.string(), z.never())
}
