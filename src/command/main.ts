/** The program's entry point. */
process.stdout.write('lavenderdoor\n')
