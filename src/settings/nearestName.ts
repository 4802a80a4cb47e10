/** Suggests corrections for mistyped names of settings, by edit distance. */

const knownNames = [
  'data_centres', 'endpoints', 'models', 'services', 'organisations', 'session_keys', 'kinds', 'region',
  'address', 'data_centre', 'versions', 'service', 'checks_fencing', 'operations', 'method', 'path',
  'idempotent', 'key_hashes', 'share', 'quality_target', 'price', 'roll_out', 'from', 'to', 'state',
  'steps', 'name', 'secret', 'listen', 'link', 'platform', 'telemetry', 'limits', 'rack', 'table_service',
  'object_store', 'virtual_machines', 'rating_service', 'caller', 'tls', 'key', 'certificate', 'level',
  'traces', 'body_bytes', 'request_seconds', 'connect', 'peers', 'drain_seconds', 'regional_link_bytes_per_second', 'secret', 'authority'
]

const maximumEditDistance = 3

/**
 * The known name closest to `name`; undefined if none is within the maximum edit distance.
 *
 * @example
 * nearestName('qualty_target') // 'quality_target'
 */
export function nearestName (name: string): string | undefined {
  let nearest: string | undefined
  let nearestDistance = maximumEditDistance + 1
  for (const known of knownNames) {
    const distance = editDistance(name, known)
    if (distance >= nearestDistance) continue
    nearest = known
    nearestDistance = distance
  }
  return nearest
}

function editDistance (left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index)
  for (let row = 1; row <= left.length; row++) {
    const current = [row]
    for (let column = 1; column <= right.length; column++) {
      const substitution = (previous[column - 1] ?? 0) + (left[row - 1] === right[column - 1] ? 0 : 1)
      const insertion = (current[column - 1] ?? 0) + 1
      const deletion = (previous[column] ?? 0) + 1
      current.push(Math.min(substitution, insertion, deletion))
    }
    previous = current
  }
  return previous[right.length] ?? 0
}
