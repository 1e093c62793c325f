/**
 * A simulated fleet in virtual time: control instances and routers as reducers, without processes.
 */
package org.laurelweir.fleet;
