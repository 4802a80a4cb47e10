/** The data centres, processes and settings of a trial: two regions and three data centres on loopback. */
import { createHash } from 'node:crypto'
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { stringify } from 'smol-toml'

export interface TrialDataCentre {
  readonly name: string
  readonly region: string
}

export interface TrialDaemon {
  readonly name: string
  readonly dataCentre: TrialDataCentre
  readonly callerAddress: string
  readonly linkAddress: string
  readonly operatorAddress: string
  readonly configFile: string
}

/** An engine or a service of the trial. */
export interface TrialEndpoint {
  readonly name: string
  readonly address: string
  readonly dataCentre: TrialDataCentre
  /** The versions of an engine; empty for a service. */
  readonly versions: readonly string[]
  readonly speed: number
  /** The name of the service; undefined for an engine. */
  readonly service: string | undefined
}

export interface TrialOrganisation {
  readonly name: string
  readonly key: string
  readonly models: readonly string[]
  readonly services: readonly string[]
  readonly share: number
}

const loopback = '127.0.0.1'
const daemonsPerDataCentre = 2
const enginesPerDataCentre = 2

export const dataCentres: readonly TrialDataCentre[] = [
  { name: 'lower-mainland-a', region: 'lower-mainland' },
  { name: 'lower-mainland-b', region: 'lower-mainland' },
  { name: 'interior-a', region: 'interior' }
]

/** The model whose version 2 is rolled out during the trial, after which its version 1 is withdrawn. */
export const rolledOutModel = 'small'

export const organisations: readonly TrialOrganisation[] = [
  { name: 'harbour', key: 'key-of-harbour', models: ['small', 'medium', 'large'], services: ['ledger', 'register'], share: 5 },
  { name: 'guides', key: 'key-of-guides', models: ['small', 'medium'], services: ['ledger'], share: 2 },
  { name: 'foresters', key: 'key-of-foresters', models: ['medium', 'large'], services: ['register'], share: 1 }
]

/** The processes of a trial and their addresses. Creating it writes the local settings of the daemons. */
export class TrialLayout {
  readonly platform: string
  readonly daemons: readonly TrialDaemon[]
  readonly endpoints: readonly TrialEndpoint[]
  readonly folder: string
  #nextPort: number

  /** @param folder where settings files and logs are written */
  constructor (folder: string, firstPort: number) {
    this.folder = folder
    this.#nextPort = firstPort
    mkdirSync(folder, { recursive: true })
    this.platform = this.#allocateAddress()
    this.daemons = dataCentres.flatMap(dataCentre => numbersUpTo(daemonsPerDataCentre).map(number => this.#createDaemon(dataCentre, number)))
    this.endpoints = dataCentres.flatMap(dataCentre => [
      ...numbersUpTo(enginesPerDataCentre).map(number => this.#createEngine(dataCentre, number)),
      this.#createService(dataCentre, 'ledger'),
      this.#createService(dataCentre, 'register')
    ])
    for (const daemon of this.daemons) writeFileSync(daemon.configFile, this.#localSettings(daemon))
  }

  /** Writes the settings file of a team and returns its path. */
  writeTeamFile (team: string): string {
    const file = join(this.folder, `${team}.toml`)
    writeFileSync(file, stringify(team === 'fleet' ? this.#fleetSettings() : accountSettings()))
    return file
  }

  #allocateAddress (): string {
    return `${loopback}:${this.#nextPort++}`
  }

  #createDaemon (dataCentre: TrialDataCentre, number: number): TrialDaemon {
    const name = `entry-${dataCentre.name}-${number}`
    return { name, dataCentre, callerAddress: this.#allocateAddress(), linkAddress: this.#allocateAddress(), operatorAddress: this.#allocateAddress(), configFile: join(this.folder, `${name}.toml`) }
  }

  #createEngine (dataCentre: TrialDataCentre, number: number): TrialEndpoint {
    const versions = ['small@1', 'small@2', 'medium@1', 'large@1']
    return { name: `engine-${dataCentre.name}-${number}`, address: this.#allocateAddress(), dataCentre, versions, speed: number === 1 ? 1 : 0.45, service: undefined }
  }

  #createService (dataCentre: TrialDataCentre, service: string): TrialEndpoint {
    return { name: `${service}-${dataCentre.name}`, address: this.#allocateAddress(), dataCentre, versions: [], speed: 1, service }
  }

  #localSettings (daemon: TrialDaemon): string {
    return stringify({
      name: daemon.name,
      region: daemon.dataCentre.region,
      data_centre: daemon.dataCentre.name,
      rack: `rack-${daemon.name}`,
      listen: { callers: daemon.callerAddress, link: daemon.linkAddress, operators: daemon.operatorAddress },
      platform: { table_service: this.platform, object_store: this.platform, virtual_machines: this.platform, rating_service: this.platform },
      link: { secret: 'the shared secret of a trial' }
    })
  }

  #fleetSettings () {
    const endpoints = this.endpoints.map(endpoint => [endpoint.name, {
      address: endpoint.address,
      data_centre: endpoint.dataCentre.name,
      ...(endpoint.service === undefined ? { versions: endpoint.versions } : { service: endpoint.service })
    }])
    return {
      kinds: ['tagging', 'lookup', 'summary'],
      session_keys: [{ name: 'first', secret: 'a session secret of the trial, long enough' }],
      data_centres: Object.fromEntries(dataCentres.map(({ name, region }) => [name, { region }])),
      models: {
        small: { price: 1, versions: { 1: {}, 2: { state: 'candidate' } } },
        medium: { price: 4, versions: { 1: {} } },
        large: { price: 20, versions: { 1: {} } }
      },
      services: {
        ledger: {
          operations: [
            { method: 'GET', path: '/balances/{account}', idempotent: true },
            { method: 'POST', path: '/refunds', idempotent: false }
          ]
        },
        register: { operations: [{ method: 'POST', path: '/registrations', idempotent: false }] }
      },
      endpoints: Object.fromEntries(endpoints)
    }
  }
}

function accountSettings () {
  const entries = organisations.map(organisation => [organisation.name, {
    key_hashes: [createHash('sha256').update(organisation.key).digest('hex')],
    models: organisation.models,
    services: organisation.services,
    share: organisation.share
  }])
  return { organisations: Object.fromEntries(entries) }
}

function numbersUpTo (count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1)
}
