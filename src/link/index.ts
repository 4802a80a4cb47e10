/** Links: typed messages between daemons over TCP. */
export * from './contract.ts'
