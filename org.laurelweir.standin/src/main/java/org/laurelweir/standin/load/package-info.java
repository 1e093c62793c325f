/**
 * A load generator: plays chats of several turns and plain calls, checks the answers and measures
 * their latency.
 */
package org.laurelweir.standin.load;
