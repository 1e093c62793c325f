/** Calls from the operator's desk to control instances, routers and sidecars. */
package org.laurelweir.pgm.fleet;
