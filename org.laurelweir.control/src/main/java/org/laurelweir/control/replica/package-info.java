/** Bootstraps a new deployment: the first membership and the first settings. */
package org.laurelweir.control.replica;
