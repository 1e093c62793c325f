/** The subcommands, one class for each, and the options that they share. */
package org.laurelweir.pgm.command;
