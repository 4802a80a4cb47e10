/** A model has versions; `model@version` names one of them everywhere: settings, tokens, bills, metrics. */

/** A model and one of its versions, `model@version`, for example `small@3`. */
export type VersionName = `${string}@${string}`

/** What a version may be used for. */
export const VersionState = {
  /** Takes new work. */
  Serving: 'serving',
  /** Takes the share of new sessions that its roll-out gives it. */
  Candidate: 'candidate',
  /** Takes no new work; streams that run already end whole. */
  Withdrawn: 'withdrawn'
} as const
export type VersionState = typeof VersionState[keyof typeof VersionState]

/**
 * Joins a model's name and a version.
 *
 * @example
 * versionName('small', '3') // 'small@3'
 */
export function versionName (model: string, version: string): VersionName {
  return `${model}@${version}`
}

/**
 * The model that a version belongs to.
 *
 * @example
 * modelOf('small@3') // 'small'
 */
export function modelOf (name: VersionName): string {
  return name.slice(0, name.lastIndexOf('@'))
}
