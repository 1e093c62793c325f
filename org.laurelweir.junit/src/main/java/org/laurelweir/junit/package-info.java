/** Test helpers for the other modules: child processes, servers and waiting for conditions. */
package org.laurelweir.junit;
