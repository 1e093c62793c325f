/** Runs a program's reducer on a single thread, which takes events from a bounded queue. */
package org.laurelweir.runtime.loop;
