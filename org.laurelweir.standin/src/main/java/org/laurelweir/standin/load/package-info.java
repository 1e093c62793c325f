/** A load generator: plays returning chats and plain calls, and checks and measures the answers. */
package org.laurelweir.standin.load;
