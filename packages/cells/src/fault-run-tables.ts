/**
 * Tables of the fault runs: idempotent, non-idempotent and exclusive kinds, on executors and workers. Worker tasks are large
 * and long enough to keep the workers nearly full, so that a task whose capacity is not counted leads to an overcommit.
 */
export const FAULT_RUN_ROUTES = `kind,customer,team,pool,urgency,cores,memoryMb,accelerators,tasks,idempotent,exclusive,resumable,service,runtimeMs,deadlineMs,retryLimit
enquiry,descanso,,executors,urgent,,,,,yes,,,,,15000,2
posting,descanso,,executors,high,,,,,no,,,,,20000,0
reorder,descanso,,executors,low,,,,,yes,,,,,20000,2
sanitation,descanso,,workers,high,8,16384,,,no,yes,,,,40000,0
reconciliation,descanso,,workers,high,6,8192,,,yes,yes,,,,40000,2
`

export const FAULT_RUN_POOLS = `pool,targets,failureDomains,racks,labels,slots,connections,maxQueueMsUrgent,maxQueueMsHigh,maxQueueMsNormal,maxQueueMsLow,floorUrgentPercent,floorHighPercent,floorNormalPercent,floorLowPercent,limitUrgentPercent,limitHighPercent,limitNormalPercent,limitLowPercent,teamQuotas
executors,executor,,,,8,64,10000,20000,20000,20000,40,30,5,5,90,90,90,50,
workers,worker,,,,,,40000,40000,40000,40000,10,40,10,10,90,90,90,50,
`
