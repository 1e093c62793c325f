package org.laurelweir.lib;

/**
 * Identifies one incarnation of a backend server, which is one run of its sidecar.
 *
 * @param id the backend server's name, unique in the deployment
 * @param incarnation rises with every start of the sidecar, so that an answer of an earlier run is
 *     never taken for an answer of this one
 */
public record BackendRef(String id, long incarnation) {}
