// Replaces optional native modules of bunyan, which works without them if they fail to load.
throw new Error('optional module is not bundled');
