/** Reads HTTP requests within bounds on memory and on the work that each byte costs. */
package org.laurelweir.runtime.http;
