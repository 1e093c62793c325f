package org.laurelweir.attempt;

/** One HTTP header as it stood in a request or an answer. */
public record Header(String name, String value) {}
