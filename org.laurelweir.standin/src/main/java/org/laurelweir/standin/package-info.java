/** What the stand-ins share: settings, the record of executions, faults and the main loop. */
package org.laurelweir.standin;
