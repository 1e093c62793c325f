/**
 * The shell around the replicated log: the disk's thread, the first membership, the first settings.
 */
package org.laurelweir.control.replica;
