/** Starts, disturbs and asks the programs of a small fleet, each a process of its own. */
package org.laurelweir.packaging.fleet;
