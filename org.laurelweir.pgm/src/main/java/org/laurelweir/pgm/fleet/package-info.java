/**
 * Calls from the command line to control instances, routers and sidecars, and the fleet's status.
 */
package org.laurelweir.pgm.fleet;
