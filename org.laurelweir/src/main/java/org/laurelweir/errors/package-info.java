/** Unchecked exceptions with numbered result codes. */
package org.laurelweir.errors;
