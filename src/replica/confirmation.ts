/** When and over which hop the store last confirmed that a replica is current. */

/** The hop over which a confirmation reached this gateway. */
export const ConfirmationHop = {
  /** A reply of the store to this gateway. */
  Store: 'store',
  /** A reply of another gateway, which follows the store. */
  Relay: 'relay'
} as const
export type ConfirmationHop = typeof ConfirmationHop[keyof typeof ConfirmationHop]

/** One confirmation of a table. */
export interface Confirmation {
  /** When the store gave it, on this process's clock. */
  readonly confirmedAt: number
  readonly hop: ConfirmationHop
  /** Link address of the relay; undefined if the store replied itself. */
  readonly relay?: string
}
