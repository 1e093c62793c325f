package org.laurelweir.attempt;

/** One HTTP header of a request or an answer, unchanged. */
public record Header(String name, String value) {}
