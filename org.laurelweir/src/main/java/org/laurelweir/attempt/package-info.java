/** One try at running a request on a backend server, and the frames that bring its answer back. */
package org.laurelweir.attempt;
