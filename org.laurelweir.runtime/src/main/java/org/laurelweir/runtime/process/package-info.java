/** A program's life from its command line to its exit. */
package org.laurelweir.runtime.process;
