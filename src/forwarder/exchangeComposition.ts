/** Composes what gateways tell each other: who runs, limits, crashes, misdirected endpoints, and their work at endpoints. */
import { FleetDirectory, FleetReports } from '../fleet/index.ts'
import { LoadReports } from '../fleetLoad/index.ts'
import { MisdirectedEndpoints } from '../misdirection/index.ts'
import { NewsExchange, logLimitChange, logMisdirection } from '../news/index.ts'
import { AnnouncedLimits, EndpointLimits, WarmUps } from '../rateLimit/index.ts'
import type { ReplicaFollower } from '../replica/index.ts'
import type { ForwarderDependencies } from './forwarderDependencies.ts'
import { registrationExpiryMilliseconds } from './tableLoader.ts'

export function makeAnnouncedLimits (parts: ForwarderDependencies): AnnouncedLimits {
  return new AnnouncedLimits(change => logLimitChange(parts.log, change, parts.limits.sentTo(change.fact.instance)))
}

export function makeMisdirected (parts: ForwarderDependencies): MisdirectedEndpoints {
  const { boot, log, metrics, randomness } = parts
  return new MisdirectedEndpoints({
    registrationMilliseconds: () => registrationExpiryMilliseconds(boot.current),
    followedSince: () => followedSince(parts.follower),
    addressReuseMilliseconds: () => boot.current.addressReuseMilliseconds,
    randomness,
    onChange: change => {
      logMisdirection(log, change)
      metrics.addressChanges.inc({ change: change.type })
    }
  })
}

function followedSince ({ hasFailingFeed, lastRecoveredAt, lastRestoredAt }: ReplicaFollower): number {
  return hasFailingFeed ? Number.POSITIVE_INFINITY : Math.max(lastRecoveredAt, lastRestoredAt)
}

export function makeLimits ({ announcedLimits, fleet, registry, warmUps }: ForwarderDependencies): EndpointLimits {
  return new EndpointLimits({ announced: announcedLimits, fleet, regionsServing: service => registry.regionsServing(service), warmUps })
}

export function makeWarmUps ({ boot, routing }: ForwarderDependencies): WarmUps {
  return new WarmUps({
    requestsPerSecondOf: service => routing.snapshot?.settings.services.get(service)?.warmUp?.requestsPerSecond,
    tolerance: boot.current.warmUpTolerance
  })
}

export function makeFleet ({ boot, clock }: ForwarderDependencies): FleetDirectory {
  const { peerAddress, place } = boot.current
  return new FleetDirectory({
    self: { address: peerAddress, region: place.region },
    seeds: () => boot.current.seeds,
    startedAt: clock.now(),
    now: () => clock.now()
  })
}

export function makeFleetReports ({ boot, clock, fleet, link, log }: ForwarderDependencies): FleetReports {
  return new FleetReports({ link, directory: fleet, seeds: () => boot.current.seeds, clock, log })
}

export function makeNews (parts: ForwarderDependencies): NewsExchange {
  const { link, breaker, announcedLimits, misdirected, peers, clock, randomness, log } = parts
  return new NewsExchange({
    link,
    breaker,
    limits: announcedLimits,
    misdirected,
    peers: () => peers.peers,
    onBreakerNews: () => parts.runs.followNews(clock.now()),
    clock,
    randomness,
    log
  })
}

export function makeLoadReports ({ boot, clock, fleet, link, loadNews, loads, log, randomness }: ForwarderDependencies): LoadReports {
  return new LoadReports({
    link,
    seeds: () => boot.current.seeds,
    regionOf: address => fleet.regionOf(address),
    ownWork: () => loads.modelWork(),
    news: loadNews,
    clock,
    randomness,
    log
  })
}
