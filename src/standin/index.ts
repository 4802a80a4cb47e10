/** Stand-ins for the platform and the endpoints, for trials and tests. */
export { MemoryTableService } from './memoryTable.ts'
