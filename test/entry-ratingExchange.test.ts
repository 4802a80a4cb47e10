import { expect, test } from 'vitest'
import { decode, encode } from 'cbor-x'
import { LearnedVersionPolicy } from '../src/choice/index.ts'
import { SeededRandomness } from '../src/contract/index.ts'
import { ratingDigest } from '../src/entry/ratingExchange.ts'

test('a digest survives the encoding of the link, and the receiving policy learns from it', () => {
  const sourcePolicy = new LearnedVersionPolicy({ randomness: new SeededRandomness(1) })
  const request = { organisation: 'harbour', kind: 'tagging', pinnedVersion: undefined, streamed: false, promptTokens: 300, expectedCompletionTokens: 20, difficultyHint: 0.4, remainingMilliseconds: 60_000, qualityTarget: 0.92 }
  const candidates = [{ name: 'small@1' as const, price: 1, available: true }, { name: 'large@1' as const, price: 20, available: true }]
  for (let turn = 0; turn < 200; turn++) {
    sourcePolicy.plan(request, candidates, turn).unwrap()
    sourcePolicy.observeRating({ organisation: 'harbour', kind: 'tagging', version: 'small@1', difficultyHint: 0.4, rating: 95, at: turn })
  }
  const digest = sourcePolicy.digest('entry-1', 1)
  const received = ratingDigest.body.parse(decode(encode(digest)))
  expect(received).toEqual(digest)
  const receivingPolicy = new LearnedVersionPolicy({ randomness: new SeededRandomness(2) })
  receivingPolicy.mergeDigest(received)
  const planFirstVersion = () => receivingPolicy.plan(request, candidates, 1_000).unwrap().steps[0]?.version
  expect(Array.from({ length: 20 }, planFirstVersion).filter(version => version === 'small@1').length).toBeGreaterThan(15)
})
