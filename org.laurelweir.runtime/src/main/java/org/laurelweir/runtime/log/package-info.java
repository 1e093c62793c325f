/** Configures a program's log and writes one line for each routing or placement decision. */
package org.laurelweir.runtime.log;
