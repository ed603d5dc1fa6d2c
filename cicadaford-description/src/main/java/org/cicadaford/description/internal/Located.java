package org.cicadaford.description.internal;

/**
 * A checked entry of a file.
 *
 * @param value the entry
 * @param reader reader of its fields, which knows their places
 */
record Located<T>(T value, MappingReader reader) {}
