/**
 * The sidecar, the program that runs beside each backend server: its entry point, its settings
 * file, and how it starts and stops.
 */
package org.laurelweir.sidecar;
