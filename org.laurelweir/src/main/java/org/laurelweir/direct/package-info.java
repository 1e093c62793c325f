/**
 * Routes to backend servers that have no sidecar: which one is called, when a request is sent
 * again, and what its caller is answered.
 */
package org.laurelweir.direct;
