/**
 * Signals of the platform to the process. It is told to stop or to read its boot file again at any time, and
 * a signal without a listener would end it. A signal that comes while the program is loaded is kept until then.
 */

/** What each signal asks for. */
export interface SignalHandlers {
  /** Read the boot file again. */
  readonly SIGHUP: () => void
  /** Planned stop. */
  readonly SIGTERM: () => void
}

type HandledSignal = keyof SignalHandlers

const handledSignals: readonly HandledSignal[] = ['SIGHUP', 'SIGTERM']

/**
 * @example
 * const signals = new ProcessSignals()
 * const forwarder = await start()
 * signals.handleWith({ SIGHUP: () => forwarder.reload(), SIGTERM: () => forwarder.stop() })
 */
export class ProcessSignals {
  readonly #kept = new Set<HandledSignal>()
  #handlers: SignalHandlers | undefined

  constructor () {
    for (const signal of handledSignals) process.on(signal, () => this.#receive(signal))
  }

  /** Handles the signals that were kept, once each, and all further ones. */
  handleWith (handlers: SignalHandlers): void {
    this.#handlers = handlers
    for (const signal of this.#kept) handlers[signal]()
    this.#kept.clear()
  }

  #receive (signal: HandledSignal): void {
    if (this.#handlers === undefined) this.#kept.add(signal)
    else this.#handlers[signal]()
  }
}
