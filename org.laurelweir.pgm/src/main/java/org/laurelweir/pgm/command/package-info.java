/** One class for each subcommand. */
package org.laurelweir.pgm.command;
