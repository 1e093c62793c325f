/** Settings trees as files, and what a file changes in the tree in force. */
package org.laurelweir.pgm.tree;
