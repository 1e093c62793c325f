package org.laurelweir.routing;

import org.laurelweir.lib.BackendRef;

/** The target of an attempt: a run of a sidecar, and the address that it listens on. */
record Target(BackendRef ref, String address) {}
