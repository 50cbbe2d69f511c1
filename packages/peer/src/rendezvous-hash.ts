import { createHash } from 'node:crypto'

/** Scores a candidate for a key: the first 48 bits of a SHA-256 over both. */
export function scoreCandidate (candidate: string, key: string): number {
  return createHash('sha256').update(`${candidate}\0${key}`).digest().readUIntBE(0, 6)
}

/** Ranks candidates for a key by rendezvous hashing, the best first. A candidate that leaves moves only its own keys. */
export function rankCandidates<Candidate extends string> (candidates: readonly Candidate[], key: string): Candidate[] {
  const scored = candidates.map((candidate) => ({ candidate, score: scoreCandidate(candidate, key) }))
  scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
  return scored.map(({ candidate }) => candidate)
}
