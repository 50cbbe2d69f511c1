import { RetryBudget } from './retry-budget.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import type { WorkItem } from './work-item.js'

// A budget that was dropped starts again at its minimum, so the bound costs a customer at most its earned retries.
const MAX_BUDGETS = 10_000

/** Retry budgets by pool and by customer; a retry needs both. */
export class RetryBudgets {
  readonly #settings: SchedulerSettings
  readonly #byPool = new Map<string, RetryBudget>()
  readonly #byCustomer = new Map<string, RetryBudget>()

  constructor (settings: SchedulerSettings) {
    this.#settings = settings
  }

  recordFirstAttempt (item: WorkItem): void {
    this.#ensure(this.#byPool, item.pool).recordFirstAttempt()
    this.#ensure(this.#byCustomer, item.customer).recordFirstAttempt()
  }

  claim (item: WorkItem, nowMs: number): boolean {
    const pool = this.#ensure(this.#byPool, item.pool)
    const customer = this.#ensure(this.#byCustomer, item.customer)
    const isAllowed = [pool.isRetryAllowed(nowMs), customer.isRetryAllowed(nowMs)].every(Boolean)
    if (!isAllowed) return false
    pool.spend()
    customer.spend()
    return true
  }

  #ensure (budgets: Map<string, RetryBudget>, name: string): RetryBudget {
    let budget = budgets.get(name)
    if (budget === undefined) {
      const [oldest] = budgets.keys()
      if (budgets.size >= MAX_BUDGETS && oldest !== undefined) budgets.delete(oldest)
      budget = new RetryBudget(this.#settings)
      budgets.set(name, budget)
    }
    return budget
  }
}
