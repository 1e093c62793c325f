/** Reads the HTTP answers of backend servers, and refuses bytes that are not HTTP. */
package org.laurelweir.runtime.answer;
