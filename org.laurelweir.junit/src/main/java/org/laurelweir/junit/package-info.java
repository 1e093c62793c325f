/** Test helpers for the other modules: child processes and waiting for conditions. */
package org.laurelweir.junit;
