/** Starts the programs of a small fleet as processes, sends calls to them, and injects failures. */
package org.laurelweir.packaging.fleet;
