/**
 * The code that all stand-ins share: settings, the log of executions, injected faults and the main
 * program.
 */
package org.laurelweir.standin;
