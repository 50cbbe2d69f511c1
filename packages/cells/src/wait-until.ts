const POLL_PERIOD_MS = 20

/** Polls a condition until it holds; rejects after the timeout with an error that names the subject. */
export async function waitUntil (condition: () => boolean | Promise<boolean>, timeoutMs: number, subject: string): Promise<void> {
  const untilMs = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > untilMs) throw new Error(`timed out after ${timeoutMs} ms waiting for ${subject}`)
    await new Promise<void>((resolve) => { setTimeout(resolve, POLL_PERIOD_MS) })
  }
}
