import fc from 'fast-check'
import { expect, test } from 'vitest'
import * as z from 'zod'
import { type Clock, Ok, type Result, SeededRandomness, sleepAfterInput } from '../src/contract/index.ts'
import { Connection } from '../src/link/connection.ts'
import { type Frame, FrameKind, maximumFrameBytes, readFrames } from '../src/link/frames.ts'
import type { MessageType } from '../src/link/index.ts'
import { linkIdentityOf } from './fakes/delayedEcho.ts'
import { FakeLinkNetwork } from './fakes/fakeLink.ts'
import { ManualClock } from './fakes/manualClock.ts'

const ask: MessageType<number, number> = { name: 'test.ask', body: z.number(), reply: z.number() }
const self = linkIdentityOf('stalling')
const peer = linkIdentityOf('peer')
const tickMilliseconds = 500
const quietMilliseconds = 3_500

/** A connection of a member that a test freezes, to a peer that replies after as many milliseconds as a request names. */
class ConnectedMember {
  readonly clock = new ManualClock()
  readonly network = new FakeLinkNetwork(this.clock, new SeededRandomness(1))
  readonly connection: Connection
  isPeerGone = false
  isClosed = false
  readonly #frames: Frame[] = []
  #wake: () => void = () => undefined

  constructor () {
    const clock = this.network.clockFor(self.name)
    const socket = { writableLength: 0, write: (bytes: Buffer) => this.#receive(bytes), destroy: () => { this.isClosed = true } } as never
    this.connection = new Connection({ socket, peer, clock, handler: async () => Ok(undefined) })
    this.connection.run(this.#read()).catch(() => undefined)
    this.#tick(clock).catch(() => undefined)
  }

  async #receive (bytes: Buffer): Promise<void> {
    for await (const frame of readFrames([bytes] as never, { maximumBytes: maximumFrameBytes })) await this.#answer(frame.unwrap())
  }

  async #answer (frame: Frame): Promise<void> {
    if (frame.kind === FrameKind.Request) await this.clock.sleep(frame.body as number)
    if (this.isPeerGone || !await this.network.deliver(peer, self)) return
    this.#frames.push(frame.kind === FrameKind.Request ? { kind: FrameKind.Reply, id: frame.id, body: frame.body } : { kind: FrameKind.Pong })
    this.#wake()
  }

  async * #read (): AsyncGenerator<Result<Frame, never>> {
    for (;;) {
      for (const frame of this.#frames.splice(0)) yield Ok(frame)
      await new Promise<void>(resolve => { this.#wake = resolve })
    }
  }

  async #tick (clock: Clock): Promise<void> {
    while (!this.isClosed) {
      const dueAt = clock.now() + tickMilliseconds
      await sleepAfterInput(clock, tickMilliseconds)
      this.connection.tick(clock.now(), Math.max(0, clock.now() - dueAt))
    }
  }
}

const stalls = fc.array(fc.record({
  afterMilliseconds: fc.integer({ min: 0, max: 700 }),
  milliseconds: fc.integer({ min: 1, max: 20_000 }),
  timeoutMilliseconds: fc.constantFrom(200, 300, 1_000, 10_000),
  delayShare: fc.double({ min: 0, max: 0.95, noNaN: true })
}), { minLength: 1, maxLength: 8 })

test('whatever stalls a process has, no reply that came in time is lost and no connection to a sound peer is closed', async () => {
  await fc.assert(fc.asyncProperty(stalls, async series => {
    const member = new ConnectedMember()
    const replies = []
    for (const { afterMilliseconds, milliseconds, timeoutMilliseconds, delayShare } of series) {
      replies.push(member.connection.request(ask, Math.floor(timeoutMilliseconds * delayShare), timeoutMilliseconds))
      await member.clock.advance(afterMilliseconds)
      member.network.freeze(self.name)
      await member.clock.advance(milliseconds)
      member.network.thaw(self.name)
    }
    await member.clock.advance(10_000)
    expect((await Promise.all(replies)).filter(reply => reply.err)).toEqual([])
    expect(member.connection.acceptsRequests).toBe(true)
  }), { numRuns: 60 })
}, 60_000)

test('whatever stalls a process has, a peer that is gone is found in time that is not held up', async () => {
  await fc.assert(fc.asyncProperty(stalls, async series => {
    const member = new ConnectedMember()
    member.isPeerGone = true
    const reply = member.connection.request(ask, 0, 60_000)
    for (const { afterMilliseconds, milliseconds } of series) {
      await member.clock.advance(afterMilliseconds)
      member.network.freeze(self.name)
      await member.clock.advance(milliseconds)
      member.network.thaw(self.name)
    }
    await member.clock.advance(quietMilliseconds)
    expect(member.isClosed).toBe(true)
    expect((await reply).val).toMatchObject({ reason: 'the connection went silent' })
  }), { numRuns: 60 })
}, 60_000)
