import type { KeyValueStore } from '@hibiscusledge/store/key-value-store.js'
import type { Clock } from '@hibiscusledge/runtime/clock.js'
import type { RandomSource } from '@hibiscusledge/runtime/random-source.js'
import type { TableSources } from '@hibiscusledge/tables/table-set.js'
import { TableStore } from '@hibiscusledge/tables/table-store.js'
import type { TableEditResult, TableEditor } from './table-editor.js'

/** Applies table changes to the platform's store. An accepted change is durable. */
export class StoreTableEditor implements TableEditor {
  readonly #tables: TableStore

  constructor (store: KeyValueStore, clock: Clock, random: RandomSource) {
    this.#tables = new TableStore(store, clock, random)
  }

  async applyTables (texts: TableSources, expectedRevision: number, author: string): Promise<TableEditResult> {
    const outcome = await this.#tables.applyTables({ texts, expectedRevision, author })
    switch (outcome.type) {
      case 'conflict':
        return { type: 'conflict', ...outcome.conflict }
      case 'tooLarge':
        return {
          type: 'invalid',
          findings: [{
            code: 'tablesTooLarge', place: 'tables', message: `${outcome.byteCount} bytes are over the limit of ${outcome.limitBytes} bytes`
          }]
        }
      default:
        return outcome
    }
  }
}
