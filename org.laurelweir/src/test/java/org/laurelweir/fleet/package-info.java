/** A fleet of reducers in virtual time: control instances and routers, without processes. */
package org.laurelweir.fleet;
