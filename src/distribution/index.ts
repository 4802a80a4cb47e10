/** Distribution: settings from the table service to every daemon, never reverting. */
export * from './contract.ts'
