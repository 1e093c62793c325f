/** Answers of backend servers: what tells their end, and whether their content can be complete. */
package org.laurelweir.answer;
