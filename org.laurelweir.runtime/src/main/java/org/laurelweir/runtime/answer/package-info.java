/** Reads the HTTP answers of backend servers, and refuses bytes that are none. */
package org.laurelweir.runtime.answer;
