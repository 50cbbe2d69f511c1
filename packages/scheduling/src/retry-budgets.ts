import { RetryBudget } from './retry-budget.js'
import type { SchedulerSettings } from './scheduler-settings.js'
import type { WorkItem } from './work-item.js'

// Bounds memory. A budget that was dropped starts again at its minimum, so its customer or pool loses only earned retries.
const MAX_BUDGETS = 10_000

/** Retry budgets by pool and by customer. A retry takes from both. */
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

  /** Takes one retry from the budgets of the item's pool and customer. Returns false when either has none left. */
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
