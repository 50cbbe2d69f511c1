const TIMEOUT_MS = 20_000

/** Waits until a condition holds. Fails after a timeout whose only purpose is to end a test that hangs. */
export async function waitFor (description: string, isMet: () => boolean | Promise<boolean>): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS
  while (!await isMet()) {
    if (performance.now() > endMs) throw new Error(`condition not met within ${TIMEOUT_MS} ms: ${description}`)
    await new Promise<void>((resolve) => { setTimeout(resolve, 5) })
  }
}
