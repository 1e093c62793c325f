/** The single thread that feeds a program's reducer, and the queue in front of it. */
package org.laurelweir.runtime.loop;
