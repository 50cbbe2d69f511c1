import { createHash } from 'node:crypto'

/** The reconcile step ranks all units four times a second; scores are kept so that it does not hash them again. */
const MAX_CACHED_SCORES = 16_384
const cachedScores = new Map<string, number>()

/** Scores a candidate for a key: the first 48 bits of a SHA-256 over both. */
export function scoreCandidate (candidate: string, key: string): number {
  const input = `${candidate}\0${key}`
  let score = cachedScores.get(input)
  if (score === undefined) {
    score = createHash('sha256').update(input).digest().readUIntBE(0, 6)
    if (cachedScores.size >= MAX_CACHED_SCORES) cachedScores.clear()
    cachedScores.set(input, score)
  }
  return score
}

/** Ranks candidates for a key by rendezvous hashing, the best first. A candidate that leaves moves only its own keys. */
export function rankCandidates<Candidate extends string> (candidates: readonly Candidate[], key: string): Candidate[] {
  const scored = candidates.map((candidate) => ({ candidate, score: scoreCandidate(candidate, key) }))
  scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
  return scored.map(({ candidate }) => candidate)
}
