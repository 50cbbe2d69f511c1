const POLL_PERIOD_MS = 20

/** Polls a condition until it holds; rejects after the bound and names what was waited for. */
export async function waitUntil (condition: () => boolean | Promise<boolean>, boundMs: number, subject: string): Promise<void> {
  const untilMs = performance.now() + boundMs
  while (!await condition()) {
    if (performance.now() > untilMs) throw new Error(`waited ${boundMs} ms in vain for ${subject}`)
    await new Promise<void>((resolve) => { setTimeout(resolve, POLL_PERIOD_MS) })
  }
}
