import type { Route } from './route.js'
import type { TableSet } from './table-set.js'

/** Routes by kind, then customer, then team. Nested, because callers choose these texts and no separator is safe. */
type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, ReadonlyMap<string, Route>>>

const indexCache = new WeakMap<TableSet, RouteIndex>()

/** The route of a request, the most specific row first: for its customer and team, its customer, its team, every request of the kind. */
export function findRoute (tables: TableSet, kind: string, customer: string, team: string): Route | undefined {
  const routesByCustomer = readIndex(tables).get(kind)
  if (routesByCustomer === undefined) return undefined
  const customerRoutes = routesByCustomer.get(customer)
  const defaultRoutes = routesByCustomer.get('')
  return customerRoutes?.get(team) ?? customerRoutes?.get('') ?? defaultRoutes?.get(team) ?? defaultRoutes?.get('')
}

function readIndex (tables: TableSet): RouteIndex {
  const cached = indexCache.get(tables)
  if (cached !== undefined) return cached
  const index = buildIndex(tables.routes)
  indexCache.set(tables, index)
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
