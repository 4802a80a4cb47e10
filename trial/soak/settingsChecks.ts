/** Checks that requests are handled as a configuration allows that may be in force. */
import { gatewayOutOfTouch, storeUnstable } from './excuses.ts'
import type { Finding } from './finding.ts'
import type { ConfigurationRecord, RequestRecord } from './records.ts'
import type { SoakView } from './soakView.ts'

const unknownKeyStatus = 401
const forbiddenStatus = 403
const unknownRouteStatus = 404

/** Requests that were handled as only an older configuration allows, or as none does. */
export function findWrongSettings (view: SoakView): readonly Finding[] {
  return view.requests.flatMap(request => {
    const { gateway, sentAt: from, endedAt: to } = request
    const allowed = view.configurationsInForce(request)
    const wrong = wrongHandling(request, allowed, view)
    if (wrong === undefined || allowed.length === 0) return []
    if (gatewayOutOfTouch(gateway, { from, to }, view) || storeUnstable(gateway, { from, to }, view)) return []
    const versions = allowed.map(({ version }) => version).join(', ')
    return [{ check: 'handled as no configuration in force allows', subject: request.request, gateway, from, to, detail: `${request.path}: ${wrong}, in force: ${versions}` }]
  })
}

/** What none of the configurations allows; undefined if one of them allows all. */
function wrongHandling (request: RequestRecord, configurations: readonly ConfigurationRecord[], view: SoakView): string | undefined {
  const { prefix } = view.askedOf(request)
  const services = configurations.map(({ routes }) => routes.find(route => route.prefix === prefix)?.service)
  const hasKey = configurations.map(({ keys }) => request.key !== undefined && keys.includes(request.key))
  const run = view.runsOf(request.request).find(({ service }) => service !== undefined && !services.includes(service))
  if (run !== undefined) return `run by ${run.service} at ${run.endpoint}`
  if (view.runsOf(request.request).length > 0 && !hasKey.includes(true)) return `run with the key ${request.key}`
  if (request.status === unknownRouteStatus && !services.includes(undefined)) return 'no route'
  const isKeyRefused = request.status === unknownKeyStatus || request.status === forbiddenStatus
  return isKeyRefused && !hasKey.includes(false) ? `the key ${request.key} refused` : undefined
}
