/** Billing: bills each request exactly once. */
export * from './contract.ts'
export { BatchedLedger, type BatchedLedgerOptions } from './batchedLedger.ts'
export { readBillRecords, verifyBills, type BillReport } from './verifyBills.ts'
export { deduplicateBills } from './deduplicateBills.ts'
export { billHandIn, billCopy, billForget } from './messages.ts'
export { batchTableName, watermarkTableName } from './lane.ts'
