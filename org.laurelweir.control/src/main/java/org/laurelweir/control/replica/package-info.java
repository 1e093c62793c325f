/** What a replica does at its very first start: the first membership, the first settings. */
package org.laurelweir.control.replica;
