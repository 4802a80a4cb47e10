/** What a soak did, in a few lines of counts. */
import type { SoakRecord } from './records.ts'

/** Lines that count the requests, runs, faults and configurations of a soak. */
export function describeFigures (records: readonly SoakRecord[]): readonly string[] {
  const requests = records.filter(record => record.type === 'request')
  const runs = records.filter(record => record.type === 'run')
  const faults = records.filter(record => record.type === 'fault')
  const peakBytes = Math.max(0, ...records.filter(record => record.type === 'memory').map(({ bytes }) => bytes))
  return [
    `${requests.length} requests: ${describeCounts(requests.map(({ end, status }) => end === 'answered' ? `${status}` : end))}`,
    `habits: ${describeCounts(requests.flatMap(({ habit }) => habit ?? []))}; ${requests.filter(({ position }) => position > 0).length} on connections used before`,
    `${runs.length} runs: ${describeCounts(runs.map(({ end }) => end))}`,
    `${faults.length} faults: ${describeCounts(faults.map(({ fault, outcome }) => outcome === undefined ? fault : `${fault} (${outcome})`))}`,
    `${records.filter(record => record.type === 'configuration').length} configurations; largest gateway ${Math.round(peakBytes / 1024 / 1024)} MiB`
  ]
}

function describeCounts (names: readonly string[]): string {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return [...counts].sort(([, left], [, right]) => right - left).map(([name, count]) => `${count} ${name}`).join(', ')
}
