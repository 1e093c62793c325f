package org.laurelweir.resumption;

import org.laurelweir.lib.BackendRef;

/**
 * One run of a backend server.
 *
 * @param ref its name and incarnation
 * @param version the software version that it announces
 */
public record BackendRun(BackendRef ref, String version) {}
