// Stands in for optional native helpers; bunyan goes on without them when loading fails.
throw new Error('optional module is not bundled');
