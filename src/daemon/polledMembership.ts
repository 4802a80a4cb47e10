/** The simplest membership: the platform's list, and each endpoint asked by each daemon. */
import type { Clock, EndpointDescription } from '../contract/index.ts'
import { EndpointKind } from '../contract/index.ts'
import type { EngineClient } from '../endpoint/index.ts'
import { type EndpointNews, type Membership, MemberState, type MemberView } from '../membership/index.ts'
import type { VirtualMachineList } from '../platform/index.ts'

export class PolledMembership implements Membership {
  #members: MemberView[] = []
  readonly #news = new Map<string, EndpointNews>()
  readonly #stopping = new AbortController()
  readonly #parts

  constructor (parts: { clock: Clock, machines: VirtualMachineList, engines: EngineClient, endpoints: () => readonly EndpointDescription[] }) {
    this.#parts = parts
  }

  start (): void {
    this.#run().catch(error => console.error(error))
  }

  async stop (): Promise<void> {
    this.#stopping.abort()
  }

  members (): readonly MemberView[] {
    return this.#members
  }

  endpoint (name: string): EndpointNews | undefined {
    return this.#news.get(name)
  }

  sawLeaving (): void {}

  async #run (): Promise<void> {
    const { clock, endpoints, engines, machines } = this.#parts
    while (!this.#stopping.signal.aborted) {
      const listed = await machines.read()
      if (listed.ok) this.#members = listed.val.map(machine => ({ name: machine.name, address: machine.address, place: { region: machine.region, dataCentre: machine.dataCentre }, rack: machine.name, incarnation: 0, state: MemberState.Alive }))
      await Promise.all(endpoints().map(async endpoint => {
        if (endpoint.kind !== EndpointKind.Engine) return
        const report = await engines.report(endpoint, AbortSignal.timeout(1_000))
        const last = this.#news.get(endpoint.name)
        this.#news.set(endpoint.name, { name: endpoint.name, healthy: report.ok, leaving: (report.ok && report.val.leaving) || last?.leaving === true, report: report.ok ? report.val : last?.report, reportedAt: clock.now() })
      }))
      await clock.sleep(1_000, this.#stopping.signal)
    }
  }
}
