/** The part of an instance that owns units and must give them away before a planned stop. */
export interface Drainable {
  /** Hands every owned unit to another member. Resolves when none is left. Aborting `signal` gives up waiting. */
  handOver (signal: AbortSignal): Promise<void>
  /** Closes links, watches and connections. Called once, after the last pending caller has its answer. */
  close (): Promise<void>
}
