/** Sends requests directly to backend servers without a sidecar, over reused HTTP connections. */
package org.laurelweir.router.direct;
