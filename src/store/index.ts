/** The platform's services: table service, object store, list of VMs and rating service. */
export {
  type TableService, type ObjectStore, type VirtualMachineList, type ListedVirtualMachine,
  type RatingService, type RatingRequest, type Row, type Page, type Range, type Condition,
  type Write, type Transaction, Commit, PlatformUnavailable
} from './tableService.ts'
export { type HttpPlatformOptions } from './httpConnection.ts'
export { HttpTableService } from './httpTableService.ts'
export { HttpObjectStore, HttpVirtualMachineList, HttpRatingService } from './httpServices.ts'
