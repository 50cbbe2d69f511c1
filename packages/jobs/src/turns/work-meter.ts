/**
 * Counts the units of work that the owner's loops do: entries visited, candidates scored, records read. Unlike time, the count does
 * not depend on the machine, so that tests can bound the work of one turn of the event loop.
 */
export class WorkMeter {
  #total = 0

  add (units: number): void {
    this.#total += units
  }

  /** Returns the units counted since the start of the process. */
  readTotal (): number {
    return this.#total
  }
}
