/** The operators' command line: its entry, its texts and how it writes results. */
package org.laurelweir.pgm;
