/** Sets up the log of a program and writes one line for each routing or placement decision. */
package org.laurelweir.runtime.log;
