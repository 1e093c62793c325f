package org.laurelweir.lib;

/**
 * One run of the sidecar beside one backend server.
 *
 * @param id the backend server's name, unique in the deployment
 * @param incarnation rises with every start of the sidecar, so that answers of an earlier run are
 *     never taken for answers of this one
 */
public record BackendRef(String id, long incarnation) {}
