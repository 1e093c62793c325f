/** Unchecked exceptions, each carrying a numbered result code. */
package org.laurelweir.errors;
