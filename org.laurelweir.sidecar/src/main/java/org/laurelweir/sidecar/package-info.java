/** The program beside each backend server: its settings file, its parts and their life. */
package org.laurelweir.sidecar;
