/** A small plain service, whose record shows each call that was executed. */
package org.laurelweir.standin.plain;
