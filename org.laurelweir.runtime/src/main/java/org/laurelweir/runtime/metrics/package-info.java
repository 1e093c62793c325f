/** Serves a program's metrics, health and readiness to scrapers and to the platform over HTTP. */
package org.laurelweir.runtime.metrics;
