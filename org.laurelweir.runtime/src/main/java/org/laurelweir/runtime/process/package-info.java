/**
 * Starts and ends a program's process. Also holds the clocks and the background executor that the
 * programs share.
 */
package org.laurelweir.runtime.process;
