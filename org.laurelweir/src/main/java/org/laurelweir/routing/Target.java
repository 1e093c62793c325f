package org.laurelweir.routing;

import org.laurelweir.lib.BackendRef;

/** Where an attempt is sent: the run of the sidecar that is meant, and where it listens. */
record Target(BackendRef ref, String address) {}
