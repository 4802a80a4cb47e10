/**
 * Immutable view of all teams' settings at one revision. Each change creates a new view, so that a
 * decision never sees a partially applied change.
 */
import { EndpointKind, type EndpointDescription, Err, modelOf, Ok, type Place, type Result, type VersionName, versionName, VersionState } from '../contract/index.ts'
import type { Fault } from './check.ts'
import { RollOutState, type OperationSettings, type OrganisationSettings, type RollOutSettings, type SessionKeySettings, type Subtree } from './schema.ts'

/** An organisation with the versions it may use. */
export interface OrganisationView {
  readonly name: string
  readonly settings: OrganisationSettings
  /** Versions it may use; withdrawn versions are left out. */
  readonly versions: readonly VersionName[]
}

/** A version of a model, with the price of the model. */
export interface VersionView {
  readonly name: VersionName
  readonly model: string
  readonly price: number
  readonly state: VersionState
}

/** The roll-out of a model. */
export interface RollOutView {
  readonly team: string
  readonly model: string
  readonly from: VersionName
  readonly to: VersionName
  readonly settings: RollOutSettings
}

/** The settings of all teams at one revision. */
export class SettingsView {
  /** Increases with each accepted change; 0 before the first. */
  readonly revision: number
  readonly subtrees: ReadonlyMap<string, Subtree>
  readonly dataCentres: ReadonlyMap<string, Place>
  readonly endpoints: ReadonlyMap<string, EndpointDescription>
  readonly versions: ReadonlyMap<VersionName, VersionView>
  readonly rollOuts: ReadonlyMap<string, RollOutView>
  readonly organisations: ReadonlyMap<string, OrganisationView>
  readonly services: ReadonlyMap<string, readonly OperationSettings[]>
  /** Kinds of request that ratings and metrics distinguish. */
  readonly kinds: ReadonlySet<string>
  readonly sessionKeys: readonly SessionKeySettings[]
  readonly totalShare: number
  readonly #organisationByKeyHash = new Map<string, OrganisationView>()

  /**
   * An empty view, at revision 0.
   *
   * @example
   * const view = SettingsView.empty()
   */
  static empty (): SettingsView {
    return new SettingsView(0, new Map())
  }

  /**
   * Combines all teams' subtrees into a view.
   *
   * @returns the view, or all faults that involve several sections or subtrees: duplicate names and dangling references
   * @example
   * const view = SettingsView.of(12, new Map([['fleet', subtree]]))
   */
  static of (revision: number, subtrees: ReadonlyMap<string, Subtree>): Result<SettingsView, Fault[]> {
    const faults = [...duplicateFaults(subtrees), ...referenceFaults(subtrees)]
    if (faults.length > 0) return Err(faults)
    return Ok(new SettingsView(revision, subtrees))
  }

  private constructor (revision: number, subtrees: ReadonlyMap<string, Subtree>) {
    this.revision = revision
    this.subtrees = subtrees
    this.dataCentres = dataCentresOf(subtrees)
    this.endpoints = endpointsOf(subtrees, this.dataCentres)
    this.versions = versionsOf(subtrees)
    this.rollOuts = rollOutsOf(subtrees)
    this.services = servicesOf(subtrees)
    this.kinds = new Set([...subtrees.values()].flatMap(subtree => subtree.kinds))
    this.sessionKeys = [...subtrees.values()].flatMap(subtree => subtree.session_keys)
    this.organisations = this.#organisationsOf(subtrees)
    this.totalShare = [...this.organisations.values()].reduce((sum, organisation) => sum + organisation.settings.share, 0)
  }

  /**
   * Finds an organisation by the SHA-256 of its API key.
   *
   * @example
   * const organisation = view.organisationByKeyHash(sha256(key))
   */
  organisationByKeyHash (hash: string): OrganisationView | undefined {
    return this.#organisationByKeyHash.get(hash)
  }

  /**
   * Whether an organisation may start new requests on a version.
   *
   * @example
   * if (!view.allows('harbour', 'small@3')) return refuse()
   */
  allows (organisation: string, version: VersionName): boolean {
    return this.organisations.get(organisation)?.versions.includes(version) ?? false
  }

  #organisationsOf (subtrees: ReadonlyMap<string, Subtree>): Map<string, OrganisationView> {
    const organisations = new Map<string, OrganisationView>()
    for (const subtree of subtrees.values()) {
      for (const [name, settings] of Object.entries(subtree.organisations)) {
        const organisation = { name, settings, versions: this.#allowedVersions(settings) }
        organisations.set(name, organisation)
        for (const hash of settings.key_hashes) this.#organisationByKeyHash.set(hash, organisation)
      }
    }
    return organisations
  }

  #allowedVersions (settings: OrganisationSettings): VersionName[] {
    const allowed = new Set<string>(settings.models)
    const available = [...this.versions.values()].filter(version => version.state !== VersionState.Withdrawn)
    return available.filter(version => allowed.has(version.name) || allowed.has(version.model)).map(version => version.name)
  }
}

function dataCentresOf (subtrees: ReadonlyMap<string, Subtree>): Map<string, Place> {
  const places = new Map<string, Place>()
  for (const subtree of subtrees.values()) {
    for (const [name, settings] of Object.entries(subtree.data_centres)) places.set(name, { region: settings.region, dataCentre: name })
  }
  return places
}

function endpointsOf (subtrees: ReadonlyMap<string, Subtree>, places: ReadonlyMap<string, Place>): Map<string, EndpointDescription> {
  const endpoints = new Map<string, EndpointDescription>()
  for (const subtree of subtrees.values()) {
    for (const [name, settings] of Object.entries(subtree.endpoints)) {
      const place = places.get(settings.data_centre)
      if (place === undefined) continue
      endpoints.set(name, {
        name,
        kind: settings.service === undefined ? EndpointKind.Engine : EndpointKind.Service,
        address: settings.address,
        place,
        versions: (settings.versions ?? []) as VersionName[],
        service: settings.service,
        checksFencing: settings.checks_fencing
      })
    }
  }
  return endpoints
}

function versionsOf (subtrees: ReadonlyMap<string, Subtree>): Map<VersionName, VersionView> {
  const versions = new Map<VersionName, VersionView>()
  for (const subtree of subtrees.values()) {
    for (const [model, settings] of Object.entries(subtree.models)) {
      for (const [version, { state }] of Object.entries(settings.versions)) {
        const name = versionName(model, version)
        versions.set(name, { name, model, price: settings.price, state })
      }
    }
  }
  return versions
}

function rollOutsOf (subtrees: ReadonlyMap<string, Subtree>): Map<string, RollOutView> {
  const rollOuts = new Map<string, RollOutView>()
  for (const [team, subtree] of subtrees) {
    for (const [model, settings] of Object.entries(subtree.models)) {
      if (settings.roll_out === undefined) continue
      rollOuts.set(model, {
        team,
        model,
        from: versionName(model, settings.roll_out.from),
        to: versionName(model, settings.roll_out.to),
        settings: settings.roll_out
      })
    }
  }
  return rollOuts
}

function servicesOf (subtrees: ReadonlyMap<string, Subtree>): Map<string, readonly OperationSettings[]> {
  const services = new Map<string, readonly OperationSettings[]>()
  for (const subtree of subtrees.values()) {
    for (const [name, settings] of Object.entries(subtree.services)) services.set(name, settings.operations)
  }
  return services
}

const uniqueNameSections = ['data_centres', 'endpoints', 'models', 'services', 'organisations'] as const

function duplicateFaults (subtrees: ReadonlyMap<string, Subtree>): Fault[] {
  const owners = new Map<string, string>()
  const faults: Fault[] = []
  for (const [team, subtree] of subtrees) {
    for (const path of uniquePaths(subtree)) {
      const owner = owners.get(path)
      if (owner === undefined) owners.set(path, team)
      else faults.push(faultOf(team, path, `a name that no other team uses (already defined by team ${owner})`, 'the same name'))
    }
  }
  return faults
}

function uniquePaths (subtree: Subtree): string[] {
  const names = uniqueNameSections.flatMap(section => Object.keys(subtree[section]).map(name => `${section}.${name}`))
  const hashes = Object.values(subtree.organisations).flatMap(organisation => organisation.key_hashes)
  return [...names, ...hashes.map(hash => `key_hashes.${hash}`)]
}

function referenceFaults (subtrees: ReadonlyMap<string, Subtree>): Fault[] {
  const places = dataCentresOf(subtrees)
  const versions = versionsOf(subtrees)
  const services = servicesOf(subtrees)
  const models = new Set([...versions.keys()].map(modelOf))
  const faults: Fault[] = []
  for (const [team, subtree] of subtrees) {
    for (const [name, endpoint] of Object.entries(subtree.endpoints)) {
      const path = `endpoints.${name}`
      if (!places.has(endpoint.data_centre)) faults.push(faultOf(team, `${path}.data_centre`, 'a data centre that the settings name', JSON.stringify(endpoint.data_centre)))
      if ((endpoint.versions === undefined) === (endpoint.service === undefined)) faults.push(faultOf(team, path, 'either versions or service', 'both or neither'))
      if (endpoint.service !== undefined && !services.has(endpoint.service)) faults.push(faultOf(team, `${path}.service`, 'a service that the settings name', JSON.stringify(endpoint.service)))
      for (const version of endpoint.versions ?? []) {
        if (!versions.has(version as VersionName)) faults.push(faultOf(team, `${path}.versions`, 'versions that the settings name', JSON.stringify(version)))
      }
    }
    for (const [name, organisation] of Object.entries(subtree.organisations)) {
      for (const model of organisation.models) {
        if (!models.has(model) && !versions.has(model as VersionName)) faults.push(faultOf(team, `organisations.${name}.models`, 'models or versions that the settings name', JSON.stringify(model)))
      }
      for (const service of organisation.services) {
        if (!services.has(service)) faults.push(faultOf(team, `organisations.${name}.services`, 'services that the settings name', JSON.stringify(service)))
      }
    }
    for (const [name, model] of Object.entries(subtree.models)) faults.push(...rollOutFaults(team, name, model.roll_out, Object.keys(model.versions)))
  }
  return faults
}

function rollOutFaults (team: string, model: string, rollOut: RollOutSettings | undefined, versions: readonly string[]): Fault[] {
  if (rollOut === undefined) return []
  const path = `models.${model}.roll_out`
  const missing = [rollOut.from, rollOut.to].filter(version => !versions.includes(version))
  const faults = missing.map(version => faultOf(team, path, `one of the model's versions: ${versions.join(', ')}`, JSON.stringify(version)))
  if (rollOut.from === rollOut.to) faults.push(faultOf(team, path, 'two different versions', JSON.stringify(rollOut.to)))
  return faults
}

function faultOf (team: string, path: string, expected: string, found: string): Fault {
  return { source: `settings/${team}`, line: undefined, path, expected, found }
}

/**
 * Selects the version of a model for a new session. During a roll-out, the hash of the session is
 * compared with the share of the roll-out, so that all daemons agree without communicating.
 *
 * @param sessionHash from 0 (inclusive) to 1 (exclusive)
 * @returns undefined if no version of the model may receive new sessions
 * @example
 * versionForNewSession(view, 'small', hashFraction(sessionId))
 */
export function versionForNewSession (view: SettingsView, model: string, sessionHash: number): VersionName | undefined {
  const rollOut = view.rollOuts.get(model)
  if (rollOut !== undefined) return versionUnderRollOut(view, rollOut, sessionHash)
  const serving = [...view.versions.values()].filter(version => version.model === model && version.state === VersionState.Serving)
  return serving.at(-1)?.name
}

function versionUnderRollOut (view: SettingsView, rollOut: RollOutView, sessionHash: number): VersionName | undefined {
  const share = rollOut.settings.state === RollOutState.Halted ? 0 : rollOut.settings.state === RollOutState.Done ? 1 : rollOut.settings.share
  const [preferred, fallback] = sessionHash < share ? [rollOut.to, rollOut.from] : [rollOut.from, rollOut.to]
  if (view.versions.get(preferred)?.state !== VersionState.Withdrawn) return preferred
  // Never fall back to the new version of a halted roll-out.
  if (rollOut.settings.state === RollOutState.Halted) return undefined
  return view.versions.get(fallback)?.state === VersionState.Withdrawn ? undefined : fallback
}
