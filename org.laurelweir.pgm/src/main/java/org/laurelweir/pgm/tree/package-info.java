/** Settings trees as files, and how a file differs from the tree in force. */
package org.laurelweir.pgm.tree;
