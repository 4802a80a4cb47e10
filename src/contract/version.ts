/** Versions of models. `model@version` is the name of a version in settings, tokens, bills and metrics. */

/** `model@version`, for example `small@3`. */
export type VersionName = `${string}@${string}`

/** The life cycle of a version. */
export const VersionState = {
  /** Receives new requests. */
  Serving: 'serving',
  /** Receives the share of new sessions that its roll-out assigns. */
  Candidate: 'candidate',
  /** Receives no new requests; running streams are completed. */
  Withdrawn: 'withdrawn'
} as const
export type VersionState = typeof VersionState[keyof typeof VersionState]

/**
 * Builds the name of a version.
 *
 * @example
 * versionName('small', '3') // 'small@3'
 */
export function versionName (model: string, version: string): VersionName {
  return `${model}@${version}`
}

/**
 * The model of a version.
 *
 * @example
 * modelOf('small@3') // 'small'
 */
export function modelOf (name: VersionName): string {
  return name.slice(0, name.lastIndexOf('@'))
}
