/**
 * Direct routing to backend servers that have no sidecar: the choice of the server, retries, and
 * the answers to callers.
 */
package org.laurelweir.direct;
