/** Tells from the settings whether a call to a plain service may be repeated. */
import type { OperationSettings } from '../settings/index.ts'

/** Methods that HTTP defines as safe: they may be repeated where the settings say nothing. */
const safeMethods: readonly string[] = ['GET', 'HEAD', 'OPTIONS']

/**
 * Whether a call is idempotent. A call that no operation of the settings names is taken as not
 * idempotent, unless its method is safe.
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
