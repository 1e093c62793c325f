/** The operators' command line: its entry point, its texts and its output. */
package org.laurelweir.pgm;
