/** The platform's services: table service, object store, list of VMs and rating service. */
export {
  type TableService, type ObjectStore, type VirtualMachineList, type ListedVirtualMachine,
  type RatingService, type RatingRequest, type Row, type ScanPage, type ScanRange, type VersionCondition,
  type RowWrite, type Transaction, TransactionOutcome, PlatformUnavailable
} from './platformServices.ts'
export { type PlatformClientOptions } from './platformClient.ts'
export { HttpTableService } from './httpTableService.ts'
export { HttpObjectStore, HttpVirtualMachineList, HttpRatingService } from './httpServices.ts'
