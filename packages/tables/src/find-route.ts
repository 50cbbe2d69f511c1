import type { Route } from './route.js'
import type { TableSet } from './table-set.js'

/** Routes by kind, customer and team. Maps are nested, because callers choose these strings and may use any separator in them. */
type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, ReadonlyMap<string, Route>>>

const indexCache = new WeakMap<TableSet, RouteIndex>()

/**
 * Returns the most specific route of a request. Routes for its customer and team come first, then those for its customer,
 * for its team and for all requests of its kind.
 */
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
