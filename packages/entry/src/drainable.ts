/** Component of an instance that owns units and must hand them over before a planned stop. */
export interface Drainable {
  /** Hands over every owned unit to another member. Resolves when none is left; aborting `signal` ends the wait. */
  handOver (signal: AbortSignal): Promise<void>
  /** Closes links, watches and connections. Called once, after the drain. */
  close (): Promise<void>
}
