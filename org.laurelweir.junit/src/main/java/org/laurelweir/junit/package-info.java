/** Fakes and fixtures for the tests of the other modules. */
package org.laurelweir.junit;
