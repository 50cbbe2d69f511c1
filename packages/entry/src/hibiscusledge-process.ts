import { EXIT_CODES } from './exit-codes.js'
import { LOG_EVENTS } from './log-events.js'
import type { ProcessOptions } from './process-options.js'

const PENDING_POLL_PERIOD_MS = 50
/** Time limit for closing each component: one that never closes must not keep the process from exiting. */
const CLOSE_TIMEOUT_MS = 2_000

/** Runs one instance as a process: start, planned stop and exit on an uncaught error. */
export class HibiscusledgeProcess {
  readonly #options: ProcessOptions
  #isDraining = false

  constructor (options: ProcessOptions) {
    this.#options = options
  }

  async start (): Promise<void> {
    const { lifeCycle, api, startInstance, tables, logger, exit } = this.#options
    try {
      await startInstance()
      await api.start()
    } catch (error) {
      logger.logError(LOG_EVENTS.startFailed, { error })
      exit(EXIT_CODES.startFailed)
      return
    }
    lifeCycle.applyEvent('started')
    if (tables.readCurrent() !== undefined) lifeCycle.applyEvent('joined')
    tables.subscribe(() => { lifeCycle.applyEvent('joined') })
  }

  /** Handles SIGTERM and SIGINT: the first signal starts the drain, a second one ends the process immediately. */
  async onTerminate (): Promise<void> {
    const { lifeCycle, pendingCallers, logger, exit } = this.#options
    if (this.#isDraining) {
      logger.logError(LOG_EVENTS.terminatedAtOnce, { cutOffCallers: pendingCallers.readCount() })
      exit(EXIT_CODES.terminatedAtOnce)
      return
    }
    this.#isDraining = true
    lifeCycle.applyEvent('drain')
    await this.#drain()
    lifeCycle.applyEvent('stop')
    await this.#close()
    exit(EXIT_CODES.ok)
  }

  /** Handles an uncaught exception or rejection by exiting: an instance in an unknown state must not send work. */
  onUncaughtError (origin: string, error: unknown): void {
    const { logger, pendingCallers, exit } = this.#options
    logger.logError(LOG_EVENTS.internalFault, { origin, cutOffCallers: pendingCallers.readCount(), error })
    exit(EXIT_CODES.internalFault)
  }

  async #drain (): Promise<void> {
    const { settings, lifeCycle, pendingCallers, clock, logger } = this.#options
    logger.logInfo(LOG_EVENTS.drainStarted, { pendingCallers: pendingCallers.readCount(), graceMs: settings.drainGraceMs })
    await this.#wait(settings.drainGraceMs)
    lifeCycle.refuseRequests()
    logger.logInfo(LOG_EVENTS.drainRefusing, { pendingCallers: pendingCallers.readCount(), timeoutMs: settings.drainTimeoutMs })

    const timeout = new AbortController()
    const timer = clock.startTimer(settings.drainTimeoutMs, () => timeout.abort())
    await Promise.all([this.#handOver(timeout.signal), this.#waitForCallers(timeout.signal)])
    timer.cancel()
    if (timeout.signal.aborted) logger.logWarning(LOG_EVENTS.drainTimedOut, { cutOffCallers: pendingCallers.readCount() })
    else logger.logInfo(LOG_EVENTS.drainFinished)
  }

  async #handOver (signal: AbortSignal): Promise<void> {
    const handOver = this.#options.drainer.handOver(signal)
      .catch((error: unknown) => { this.#options.logger.logError(LOG_EVENTS.handOverFailed, { error }) })
    await Promise.race([handOver, waitForAbort(signal)])
  }

  async #waitForCallers (signal: AbortSignal): Promise<void> {
    const { pendingCallers, gateway } = this.#options
    while (!signal.aborted && (pendingCallers.readCount() > 0 || gateway.countPending() > 0)) {
      await pendingCallers.waitForIdle(signal)
      if (gateway.countPending() > 0) await Promise.race([this.#wait(PENDING_POLL_PERIOD_MS), waitForAbort(signal)])
    }
  }

  async #close (): Promise<void> {
    const { api, drainer, closeTelemetry, logger } = this.#options
    for (const close of [() => api.stop(), () => drainer.close(), closeTelemetry]) {
      const closed = close().catch((error: unknown) => { logger.logError(LOG_EVENTS.closeFailed, { error }) })
      await this.#waitWithTimeout(closed, CLOSE_TIMEOUT_MS)
    }
  }

  async #wait (durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => { this.#options.clock.startTimer(durationMs, resolve) })
  }

  async #waitWithTimeout (promise: Promise<void>, durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = this.#options.clock.startTimer(durationMs, resolve)
      promise.finally(() => {
        timer.cancel()
        resolve()
      })
    })
  }
}

async function waitForAbort (signal: AbortSignal): Promise<void> {
  if (signal.aborted) return
  await new Promise<void>((resolve) => { signal.addEventListener('abort', () => resolve(), { once: true }) })
}
