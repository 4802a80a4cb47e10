throw new Error('cbor-extract is not installed')
