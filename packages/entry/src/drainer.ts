/** Prepares an instance for a planned stop: hands over the units that it owns and then closes its components. */
export interface Drainer {
  /** Hands over every owned unit to another member. Resolves when none is left; aborting `signal` ends the wait. */
  handOver (signal: AbortSignal): Promise<void>
  /** Closes links, watches and connections. Called once, after the drain. */
  close (): Promise<void>
}
