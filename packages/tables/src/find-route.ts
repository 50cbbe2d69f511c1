import type { Route } from './route.js'
import type { TableSet } from './table-set.js'

/** Routes by kind, then customer, then team. Nested, because callers choose these texts and no separator is safe. */
type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, ReadonlyMap<string, Route>>>

const indexes = new WeakMap<TableSet, RouteIndex>()

/** The route of a request, the most specific row first: for its customer and team, its customer, its team, every request of the kind. */
export function findRoute (tables: TableSet, kind: string, customer: string, team: string): Route | undefined {
  const customers = readIndex(tables).get(kind)
  if (customers === undefined) return undefined
  const ofCustomer = customers.get(customer)
  const ofEveryCustomer = customers.get('')
  return ofCustomer?.get(team) ?? ofCustomer?.get('') ?? ofEveryCustomer?.get(team) ?? ofEveryCustomer?.get('')
}

function readIndex (tables: TableSet): RouteIndex {
  const known = indexes.get(tables)
  if (known !== undefined) return known
  const index = buildIndex(tables.routes)
  indexes.set(tables, index)
  return index
}

function buildIndex (routes: readonly Route[]): RouteIndex {
  const kinds = new Map<string, Map<string, Map<string, Route>>>()
  for (const route of routes) {
    const customers = kinds.get(route.kind) ?? new Map<string, Map<string, Route>>()
    kinds.set(route.kind, customers)
    const teams = customers.get(route.customer) ?? new Map<string, Route>()
    customers.set(route.customer, teams)
    teams.set(route.team, route)
  }
  return kinds
}
