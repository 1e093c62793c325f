/** Measurements for docs/CAPACITY.md, run by hand. */
package org.laurelweir.control.measure;
