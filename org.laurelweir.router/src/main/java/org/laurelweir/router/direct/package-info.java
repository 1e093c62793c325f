/** Calls backend servers that have no sidecar, over connections that are kept for further calls. */
package org.laurelweir.router.direct;
