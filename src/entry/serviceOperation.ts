/** Determines from the settings whether a call to a plain service is idempotent. */
import type { OperationSettings } from '../settings/index.ts'

/** HTTP's safe methods, which are idempotent unless the settings say otherwise. */
const safeMethods: readonly string[] = ['GET', 'HEAD', 'OPTIONS']

/**
 * Whether a call may be repeated. A call that matches no configured operation is idempotent only if
 * its method is safe.
 *
 * @example
 * isIdempotent([{ method: 'POST', path: '/refunds', idempotent: false }], 'POST', '/refunds') // false
 */
export function isIdempotent (operations: readonly OperationSettings[], method: string, path: string): boolean {
  const operation = operations.find(each => each.method === method && pathMatches(each.path, path))
  return operation?.idempotent ?? safeMethods.includes(method)
}

function pathMatches (pattern: string, path: string): boolean {
  const patternSegments = pattern.split('/')
  const pathSegments = path.split('/')
  if (patternSegments.length !== pathSegments.length) return false
  return patternSegments.every((segment, index) => /^\{.*\}$/.test(segment) || segment === pathSegments[index])
}
