/**
 * Selects the versions that a request may run on. The roll-out's share assigns a version to new
 * sessions. An existing session keeps its version, or is refused if the version was withdrawn.
 */
import { Err, modelOf, Ok, Refusal, RefusalCode, type Result, RunState, type VersionName, VersionState } from '../contract/index.ts'
import { SettingsLease, type SettingsSource } from '../distribution/index.ts'
import type { Session } from '../session/index.ts'
import { type OrganisationView, type SettingsView, versionForNewSession } from '../settings/index.ts'

/** Model name with which a caller leaves the choice to the router. */
export const automaticModel = 'auto'

/** A hash outside every roll-out's share, which selects the previous version. */
const hashOutsideRollOut = 1

/**
 * Returns the versions allowed for a request without a session or the first request of one.
 *
 * @param sessionHash the session's stable hash, from 0 up to 1
 * @param isStopped whether this daemon starts no new sessions on a version
 * @example
 * const candidates = versionsForNewRequest(source, organisation, 'auto', hashFraction(id), () => false)
 */
export function versionsForNewRequest (
  source: SettingsSource,
  organisation: OrganisationView,
  model: string,
  sessionHash: number,
  isStopped: (version: VersionName) => boolean
): Result<VersionName[], Refusal> {
  if (model.includes('@')) return exactVersion(organisation, model as VersionName)
  const models = new Set(organisation.versions.map(modelOf))
  if (model !== automaticModel && !models.has(model)) return Err(modelNotFound(model))
  const requestedModels = model === automaticModel ? [...models] : [model]
  const hash = source.lease === SettingsLease.Held ? sessionHash : hashOutsideRollOut
  const versions = requestedModels.flatMap(name => versionOfModel(source.view, organisation, name, hash, isStopped) ?? [])
  return versions.length === 0 ? Err(modelNotFound(model)) : Ok(versions)
}

/**
 * Returns the version for a session's next request.
 *
 * @returns a `SessionVersionWithdrawn` refusal if the version was withdrawn
 * @example
 * const version = versionOfSession(view, organisation, session)
 */
export function versionOfSession (view: SettingsView, organisation: OrganisationView, session: Session): Result<VersionName, Refusal> {
  const state = view.versions.get(session.version)?.state
  if (state === undefined || state === VersionState.Withdrawn) {
    return Err(new Refusal(RefusalCode.SessionVersionWithdrawn, RunState.NotRun, `the session's version ${session.version} was withdrawn; start a new session`))
  }
  if (!organisation.versions.includes(session.version)) return Err(modelNotFound(session.version))
  return Ok(session.version)
}

function exactVersion (organisation: OrganisationView, version: VersionName): Result<VersionName[], Refusal> {
  return organisation.versions.includes(version) ? Ok([version]) : Err(modelNotFound(version))
}

function versionOfModel (
  view: SettingsView,
  organisation: OrganisationView,
  model: string,
  hash: number,
  isStopped: (version: VersionName) => boolean
): VersionName | undefined {
  const isUsable = (version: VersionName | undefined) => version !== undefined && organisation.versions.includes(version)
  const selected = versionForNewSession(view, model, hash)
  if (selected !== undefined && isUsable(selected) && !isStopped(selected)) return selected
  const previous = versionForNewSession(view, model, hashOutsideRollOut)
  if (isUsable(previous)) return previous
  // The organisation is limited to specific versions of the model: use the last of them that is serving.
  const allowedVersions = organisation.versions.filter(version => modelOf(version) === model && view.versions.get(version)?.state === VersionState.Serving)
  return allowedVersions.at(-1)
}

function modelNotFound (model: string): Refusal {
  return new Refusal(RefusalCode.ModelNotFound, RunState.NotRun, `model ${JSON.stringify(model)} does not exist or is not available to this organisation`)
}
