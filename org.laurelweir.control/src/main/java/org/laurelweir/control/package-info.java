/**
 * The control program, which runs on a few instances that usually have disks. It replicates the
 * settings, claims and orders in a log, receives the reports of sidecars and routers, and answers
 * with the changes that they lack.
 */
package org.laurelweir.control;
